package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.peer.PeerMessage;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.peer.PeerReply;
import org.trefoilpost.entry.peer.PoolAnswer;
import org.trefoilpost.entry.peer.PoolCall;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The job service of an entry. All its state belongs to one thread.
 */
public final class JobService implements AutoCloseable {
    private static final int RING = 8_192;
    private static final long OWNER_TICK_MILLIS = 20;
    private static final long IDLE_TICK_MILLIS = 100;
    /** How long an owner of a pool lets changes of the registry gather, in milliseconds. */
    private static final long REGISTRY_PAUSE_MILLIS = 350;

    private static final long REGISTRY_IDLE_PAUSE_MILLIS = 4_000;
    /** Difference in milliseconds between two clocks' advance from which the process counts as having stood still. */
    private static final long STANDSTILL_MILLIS = 300;

    private final JobContext context;
    private final ServiceThread<Runnable> duty;
    private final DecisionLog log;
    private final LiveEntries live = new LiveEntries();
    private final WorkerRegistry registry;
    private final StoreMirror operators;
    private final StoreMirror entries;
    private final Ownership ownership;
    private final Map<String, PoolRunner> runners = new HashMap<>();
    private final JobDesk desk;
    private final FleetRunner fleet;
    private PeerNetwork network;
    private PoolLinks links;
    private JobConfiguration configuration;
    private Moment lastMoment;
    private boolean leaving;

    private JobService(NodeSettings settings, JobPorts ports, JobMetrics metrics, EntryMetrics peerMetrics)
            throws InterruptedException {
        MillisClock clock = MillisClock.steady();
        this.duty = ServiceThread.of("jobs", RING, clock);
        this.log = new DecisionLog();
        this.context = new JobContext(settings, ports, duty, clock, log, metrics);
        this.registry = new WorkerRegistry(context, this::registryPauseMillis, this::registryChanged);
        this.operators = new StoreMirror(ports.formats().operatorPrefix(), context, () -> 0, new OperatorEntries());
        this.entries = new StoreMirror(LiveEntries.PREFIX, context, () -> 0, new LiveChanges());
        String incarnation = Long.toHexString(System.nanoTime() ^ System.currentTimeMillis());
        this.ownership = new Ownership(context, live, incarnation, new Claims());
        this.network = PeerNetwork.start(
                EntryId.of(settings.name()), Endpoint.parse(settings.peerAddress()), "", this::received, peerMetrics);
        this.links = new PoolLinks(context, network);
        OwnerCalls calls = new OwnerCalls(context, live, links, this::openRunner);
        this.desk = new JobDesk(context, calls);
        this.fleet = new FleetRunner(context, calls);
        this.lastMoment = context.now();
    }

    /**
     * Starts the service.
     *
     * @param settings  what the entry is told of itself, not null
     * @param ports  the ports to the platform, not null
     * @param metrics  the service's metrics, not null
     * @param peerMetrics  the metrics of the connections between entries, not null
     * @return the service, not null
     * @throws InterruptedException if the thread is interrupted before the listener for other entries stands
     */
    public static JobService start(NodeSettings settings, JobPorts ports, JobMetrics metrics, EntryMetrics peerMetrics)
            throws InterruptedException {
        JobService service = new JobService(settings, ports, metrics, peerMetrics);
        service.duty.start((event, nowMillis) -> event.run());
        service.context.run(service::begin);
        return service;
    }

    /**
     * Returns where callers' requests go.
     *
     * @return the ingress, not null
     */
    public JobIngress ingress() {
        return desk;
    }

    /**
     * Writes a line to the service's log.
     *
     * @param decision  what to write, not null
     */
    public void log(Decision decision) {
        context.decided(decision);
    }

    /**
     * Takes no new connections any more, and gives the pools up to other entries.
     *
     * @param done  is run once the pools are given up, not null
     */
    public void leave(Runnable done) {
        context.run(() -> {
            leaving = true;
            desk.ready(false);
            new ArrayList<>(runners.values()).forEach(PoolRunner::close);
            runners.clear();
            fleet.close();
            ownership.leave(done);
        });
    }

    /**
     * Ends the service at once.
     */
    @Override
    public void close() {
        duty.close();
        network.close();
        log.close();
    }

    private void begin() {
        operators.start();
        entries.start();
        registry.start();
        tick();
    }

    private void tick() {
        Moment now = context.now();
        watchForStandstill(now);
        ownership.tick(claimable(), now.steadyMillis());
        links.tick(live, context.settings().name(), now.steadyMillis());
        new ArrayList<>(runners.values()).forEach(PoolRunner::tick);
        fleet.tick(now);
        desk.ready(!leaving && configuration != null && entries.loaded());
        context.later(runners.isEmpty() ? IDLE_TICK_MILLIS : OWNER_TICK_MILLIS, this::tick);
    }

    private void watchForStandstill(Moment now) {
        long wall = now.wallMillis() - lastMoment.wallMillis();
        long steady = now.steadyMillis() - lastMoment.steadyMillis();
        if (Math.abs(wall - steady) > STANDSTILL_MILLIS) {
            context.decided(Decision.failure("clocks-disagree")
                    .with("wallAdvanceMillis", wall)
                    .with("steadyAdvanceMillis", steady));
            runners.values().forEach(PoolRunner::distrust);
        }
        lastMoment = now;
    }

    private Set<String> claimable() {
        Set<String> pools = new TreeSet<>();
        if (configuration != null && registry.loaded() && entries.loaded() && !leaving) {
            pools.addAll(configuration.pools());
            pools.add(FleetRunner.CLAIM);
        }
        return pools;
    }

    private Optional<PoolRunner> openRunner(String pool) {
        return Optional.ofNullable(runners.get(pool)).filter(PoolRunner::open);
    }

    private long registryPauseMillis() {
        return runners.isEmpty() ? REGISTRY_IDLE_PAUSE_MILLIS : REGISTRY_PAUSE_MILLIS;
    }

    private void registryChanged() {
        runners.values().forEach(runner -> runner.registry(registry.ofPool(runner.pool())));
    }

    private void own(String pool, long token) {
        PoolRunner present = runners.get(pool);
        boolean known = present != null && present.token() >= token || fleet.token() == token;
        if (leaving || known) {
            return;
        }
        context.decided(Decision.of("pool-claimed").with("pool", pool).with("token", token));
        if (pool.equals(FleetRunner.CLAIM)) {
            fleet.open(token, configuration);
            return;
        }
        disown(pool);
        PoolRunner runner = new PoolRunner(pool, token, context, () -> runners.remove(pool));
        runners.put(pool, runner);
        runner.start(configuration.queues(), registry);
    }

    private void disown(String pool) {
        PoolRunner runner = runners.remove(pool);
        if (runner != null) {
            context.decided(Decision.failure("pool-lost").with("pool", pool).with("reason", "key-gone"));
            runner.close();
        }
    }

    private void received(EntryId from, PeerMessage message, Consumer<PeerReply> reply) {
        if (message instanceof PoolCall call) {
            context.run(() -> answer(call, reply));
        }
    }

    private void answer(PoolCall call, Consumer<PeerReply> reply) {
        if (call.pool().isEmpty()) {
            reply.accept(PoolAnswer.of(call.callId(), false, new byte[0]));
        } else {
            desk.calls()
                    .answer(
                            call.pool(),
                            call.request(),
                            (owner, bytes) -> reply.accept(PoolAnswer.of(call.callId(), owner, bytes)));
        }
    }

    /**
     * Follows what operators write.
     */
    private final class OperatorEntries implements StoreMirror.Listener {
        @Override
        public void replaced() {
            operators.items().forEach((key, item) -> changed(key, Optional.of(item)));
        }

        @Override
        public void changed(String key, Optional<StorePort.Item> item) {
            if (item.isEmpty()) {
                return;
            }
            context.ports().formats().configuration(item.get()).ifPresent(this::configure);
            context.ports().formats().wave(item.get()).ifPresent(fleet::wave);
        }

        @Override
        public void settled() {
            fleet.operatorsRead();
        }

        private void configure(JobConfiguration next) {
            if (configuration != null && next.version() <= configuration.version()) {
                return;
            }
            configuration = next;
            context.decided(Decision.of("configuration-in-force")
                    .with("version", next.version())
                    .with("queues", next.queues().size())
                    .with("pools", next.pools().size()));
            desk.configure(next);
            runners.values().forEach(runner -> runner.configure(next.queues()));
            fleet.configure(next);
        }
    }

    /**
     * Follows which entries live and which own pools.
     */
    private final class LiveChanges implements StoreMirror.Listener {
        @Override
        public void replaced() {
            live.replace(entries.items().values(), context.now().steadyMillis());
        }

        @Override
        public void changed(String key, Optional<StorePort.Item> item) {
            live.change(key, item, context.now().steadyMillis());
        }

        @Override
        public void settled() {
            live.owners().forEach((pool, owner) -> {
                if (owner.peer().equals(ownership.self()) && configuration != null) {
                    own(pool, owner.token());
                }
            });
            for (PoolRunner runner : new ArrayList<>(runners.values())) {
                long token =
                        live.owner(runner.pool()).map(LiveEntries.Owner::token).orElse(0L);
                if (token != runner.token() && entries.revision() >= runner.token()) {
                    disown(runner.pool());
                }
            }
            long fleetToken =
                    live.owner(FleetRunner.CLAIM).map(LiveEntries.Owner::token).orElse(0L);
            if (fleet.token() != 0 && fleetToken != fleet.token() && entries.revision() >= fleet.token()) {
                fleet.close();
            }
        }
    }

    /**
     * Takes in what became of this entry's keys.
     */
    private final class Claims implements Ownership.Listener {
        @Override
        public void claimed(String pool, long token) {
            own(pool, token);
        }

        @Override
        public void allLost() {
            new ArrayList<>(runners.keySet()).forEach(JobService.this::disown);
            fleet.close();
        }
    }
}
