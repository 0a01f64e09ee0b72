package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.StoreConfirmation;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.relay.RelayedStore;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The job service of an entry. It claims pools and runs their schedulers, and routes callers' requests to the owners of
 * pools. All its state is confined to one thread.
 */
public final class JobService implements AutoCloseable {
    private static final int EVENT_QUEUE_CAPACITY = 8_192;
    private static final long OWNER_TICK_MILLIS = 20;
    private static final long IDLE_TICK_MILLIS = 100;

    private final JobContext context;
    private final ServiceThread<Runnable> eventLoop;
    private final DecisionLog decisionLog;
    private final LiveEntries liveEntries = new LiveEntries();
    private final RelayedStore store;
    private final WorkerRegistry registry;
    private final OperatorEntries operatorEntries;
    private final StoreMirror liveMirror;
    private final PoolOwnership ownership;
    private final Map<String, PoolRunner> runners = new HashMap<>();
    /** The highest token with which this entry has lost each pool, which the local copy of the claims may still show. */
    private final Map<String, Long> lostTokens = new HashMap<>();

    private final JobRequestRouter router;
    private final FleetRunner fleetRunner;
    private PeerNetwork network;
    private OwnerConnections connections;
    private ConfigurationPeers configurationPeers;
    private EndedOwners endedOwners;
    private PeerRequests peerRequests;
    private JobConfiguration configuration;
    private Moment lastMoment;
    private boolean leaving;

    private JobService(JobServiceSettings settings, JobPorts ports, JobMetrics metrics, EntryMetrics peerMetrics)
            throws InterruptedException {
        MillisClock clock = MillisClock.steady();
        this.eventLoop = ServiceThread.of("jobs", EVENT_QUEUE_CAPACITY, clock);
        this.decisionLog = new DecisionLog();
        this.store = new RelayedStore(ports.store(), clock, settings.name(), LiveEntries.entryKey(settings.name()));
        this.context = new JobContext(
                settings, ports.withStore(store), eventLoop, clock, System::currentTimeMillis, decisionLog, metrics);
        this.registry = new WorkerRegistry(
                context, () -> WorkerRegistry.watchDelayMillis(runners.values()), this::registryChanged);
        this.operatorEntries = new OperatorEntries(context, new OperatorListener());
        this.liveMirror =
                new StoreMirror(LiveEntries.KEY_PREFIX, context, WatchTimes.LONGEST, () -> 0, new LiveEntryListener());
        String incarnation = Long.toHexString(System.nanoTime() ^ System.currentTimeMillis());
        this.ownership = new PoolOwnership(context, liveEntries, incarnation, new ClaimListener());
        this.network = PeerNetwork.start(
                EntryId.of(settings.name()),
                Endpoint.parse(settings.peerAddress()),
                "",
                (from, message, reply) -> context.execute(() -> peerRequests.received(message, reply)),
                peerMetrics);
        this.connections = new OwnerConnections(context, network);
        store.attach(new PeerStoreRelay(context, liveEntries, connections), context::logDecision);
        this.configurationPeers = new ConfigurationPeers(context, operatorEntries, connections);
        this.endedOwners = new EndedOwners(context, peer -> network.isRefused(EntryId.of(peer.name())));
        OwnerCalls ownerCalls = new OwnerCalls(context, liveEntries, connections, this::openRunner, store::isServed);
        this.peerRequests = new PeerRequests(configurationPeers, store, ownerCalls);
        this.router = new JobRequestRouter(context, ownerCalls, operatorEntries.status());
        this.fleetRunner = new FleetRunner(
                context,
                ownerCalls,
                registry::machinesWithWorkers,
                token -> lostTokens.merge(FleetRunner.MACHINES_CLAIM, token, Math::max));
        this.lastMoment = context.now();
    }

    /**
     * Starts the service.
     *
     * @param settings  the entry's settings, not null
     * @param ports  the ports to the platform, not null
     * @param metrics  the service's metrics, not null
     * @param peerMetrics  the metrics of the connections between entries, not null
     * @return the service, not null
     * @throws InterruptedException if the thread is interrupted before the listener for other entries has started
     */
    public static JobService start(
            JobServiceSettings settings, JobPorts ports, JobMetrics metrics, EntryMetrics peerMetrics)
            throws InterruptedException {
        JobService service = new JobService(settings, ports, metrics, peerMetrics);
        service.eventLoop.start((event, nowMillis) -> event.run());
        service.context.execute(service::begin);
        return service;
    }

    /**
     * Returns the ingress that accepts callers' requests.
     *
     * @return the ingress, not null
     */
    public JobIngress ingress() {
        return router;
    }

    /**
     * Counts and logs a decision.
     *
     * @param decision  the decision, not null
     */
    public void log(Decision decision) {
        context.logDecision(decision);
    }

    /**
     * Stops accepting new connections, and releases the pools so that other entries can claim them.
     *
     * @param done  the task to run once the pools are released, or their release has failed, not null
     */
    public void leave(Runnable done) {
        context.execute(() -> {
            leaving = true;
            router.setReady(false);
            forEachRunner(PoolRunner::close);
            runners.clear();
            fleetRunner.close();
            ownership.leave(done);
        });
    }

    /**
     * Stops the service's thread, its connections and its log, without releasing the pools.
     */
    @Override
    public void close() {
        eventLoop.close();
        network.close();
        decisionLog.close();
    }

    private void begin() {
        operatorEntries.start();
        liveMirror.start();
        registry.start();
        tick();
    }

    private void tick() {
        try {
            tickParts();
        } finally {
            // A failure of one part must not end the ticks; the service's thread logs it.
            context.schedule(runners.isEmpty() ? IDLE_TICK_MILLIS : OWNER_TICK_MILLIS, this::tick);
        }
    }

    private void tickParts() {
        Moment now = context.now();
        long nowMillis = now.steadyMillis();
        context.runPart("pause check", () -> checkForProcessPause(now));
        context.runPart("claims", () -> ownership.tick(claimablePools(), nowMillis));
        String name = context.settings().name();
        context.runPart("connections", () -> connections.tick(liveEntries, name, nowMillis));
        context.runPart("configuration inquiry", () -> configurationPeers.tick(liveEntries, nowMillis));
        context.runPart("ended owners", () -> endedOwners.tick(liveEntries, nowMillis));
        forEachRunner(PoolRunner::tick);
        context.runPart("machines", () -> fleetRunner.tick(now));
        context.runPart("own claims", this::takeOwnClaims);
        context.runPart("lapsed claims", () -> renewLapsedClaims(now));
        router.setReady(!leaving && configuration != null && liveMirror.isLoaded());
    }

    /**
     * Runs a step for each pool that this entry owns; a failure for one pool does not affect the others.
     */
    private void forEachRunner(Consumer<PoolRunner> step) {
        List.copyOf(runners.values())
                .forEach(runner -> context.runPart("pool " + runner.pool(), () -> step.accept(runner)));
    }

    private void forEachClaim(Consumer<ClaimHolder> step) {
        claimHolders().forEach(holder -> context.runPart("claim " + holder.pool(), () -> step.accept(holder)));
    }

    private List<ClaimHolder> claimHolders() {
        List<ClaimHolder> holders = new ArrayList<>(runners.values());
        if (fleetRunner.token() != 0) {
            holders.add(fleetRunner);
        }
        return holders;
    }

    private void renewLapsedClaims(Moment now) {
        forEachClaim(holder -> {
            if (holder.isLapsed()) {
                ownership.renewClaim(holder, now);
            }
        });
    }

    /**
     * Takes over the pools that the store says this entry owns and that it does not run: after its start, or after a claim
     * that took effect without an answer. A claim with which it has lost the pool is released.
     */
    private void takeOwnClaims() {
        liveEntries.owners().forEach((pool, owner) -> {
            if (!owner.peer().equals(ownership.self()) || configuration == null) {
                return;
            }
            if (owner.token() > lostTokens.getOrDefault(pool, 0L)) {
                takeOwnership(pool, owner.token());
            } else {
                ownership.release(pool, owner.token(), context.now().steadyMillis());
            }
        });
    }

    private void checkForProcessPause(Moment now) {
        if (StoreConfirmation.isDiverged(lastMoment, now)) {
            context.logDecision(Decision.failure("clocks-disagree")
                    .with("wallAdvanceMillis", now.wallMillis() - lastMoment.wallMillis())
                    .with("steadyAdvanceMillis", now.steadyMillis() - lastMoment.steadyMillis()));
            forEachRunner(PoolRunner::invalidateOwnerConfirmation);
            fleetRunner.invalidateOwnerConfirmation();
            operatorEntries.suspended();
        }
        lastMoment = now;
    }

    private Set<String> claimablePools() {
        Set<String> pools = new TreeSet<>();
        if (configuration != null && registry.isLoaded() && liveMirror.isLoaded() && !leaving) {
            pools.addAll(configuration.pools());
            pools.addAll(liveEntries.poolsWithJobs());
            pools.add(FleetRunner.MACHINES_CLAIM);
            // A claim that has lapsed is renewed; a new claim in its place would hide what happened in between.
            claimHolders().stream().filter(ClaimHolder::isLapsed).forEach(holder -> pools.remove(holder.pool()));
        }
        return pools;
    }

    private Optional<PoolRunner> openRunner(String pool) {
        return Optional.ofNullable(runners.get(pool)).filter(PoolRunner::isOpen);
    }

    private void registryChanged() {
        forEachRunner(runner -> runner.updateWorkers(registry.workersOfPool(runner.pool())));
    }

    private void takeOwnership(String pool, long token) {
        PoolRunner current = runners.get(pool);
        boolean alreadyOwned = current != null && (current.token() >= token || current.isLapsed())
                || pool.equals(FleetRunner.MACHINES_CLAIM) && (fleetRunner.token() >= token || fleetRunner.isLapsed());
        if (leaving || alreadyOwned) {
            return;
        }
        context.logDecision(Decision.of("pool-claimed").with("pool", pool).with("token", token));
        if (pool.equals(FleetRunner.MACHINES_CLAIM)) {
            fleetRunner.open(token, configuration);
            return;
        }
        dropOwnership(pool);
        PoolRunner runner = new PoolRunner(pool, token, context, registry, operatorEntries, () -> ownershipLost(pool));
        runners.put(pool, runner);
        runner.start(configuration.queues(), configuration.teams());
    }

    private void ownershipLost(String pool) {
        PoolRunner runner = runners.remove(pool);
        if (runner != null) {
            lostTokens.merge(pool, runner.token(), Math::max);
        }
    }

    private void dropOwnership(String pool) {
        PoolRunner runner = runners.remove(pool);
        if (runner != null) {
            context.logDecision(Decision.failure("pool-lost").with("pool", pool).with("reason", "key-gone"));
            runner.close();
        }
    }

    /**
     * Applies the configurations and waves that operators write.
     */
    private final class OperatorListener implements OperatorEntries.Listener {
        @Override
        public void configured(JobConfiguration next) {
            configuration = next;
            // Without the live entries the former pools of the queues are not known.
            if (liveMirror.isLoaded()) {
                router.configure(next);
            }
            forEachRunner(runner -> runner.configure(next.queues(), next.teams()));
            fleetRunner.configure(next);
        }

        @Override
        public void waveRequested(UpkeepWave wave, long revision) {
            fleetRunner.addWave(wave, revision);
        }

        @Override
        public void waveWithdrawn(long number) {
            fleetRunner.withdrawWave(number);
        }

        @Override
        public void changesApplied() {
            fleetRunner.passWavesToPlan();
        }

        @Override
        public void watchUnanswered() {
            liveMirror.watchAgain();
            registry.watchAgain();
            forEachRunner(PoolRunner::sendCommitAgain);
        }
    }

    /**
     * Follows which entries are alive and which of them own pools.
     */
    private final class LiveEntryListener implements StoreMirror.Listener {
        @Override
        public void reloaded() {
            liveEntries.replace(liveMirror.items().values(), context.now().steadyMillis());
            Optional.ofNullable(configuration).ifPresent(router::configure);
        }

        @Override
        public void itemChanged(String key, Optional<StorePort.Item> item) {
            liveEntries.change(key, item, context.now().steadyMillis());
        }

        @Override
        public void changesApplied() {
            context.runPart("own claims", JobService.this::takeOwnClaims);
            fleetRunner.ownersChanged(liveEntries);
            forEachClaim(this::checkClaim);
        }

        private void checkClaim(ClaimHolder holder) {
            if (liveMirror.revision() < holder.token()) {
                return;
            }
            Optional<LiveEntries.Owner> owner = liveEntries.owner(holder.pool());
            if (owner.isEmpty()) {
                holder.claimLapsed();
                ownership.checkLease();
            } else if (owner.get().token() != holder.token()
                    && !owner.get().peer().equals(ownership.self())) {
                holder.claimLost("claimed-by-another");
            }
        }
    }

    /**
     * Applies the outcomes of this entry's claims.
     */
    private final class ClaimListener implements PoolOwnership.Listener {
        @Override
        public void poolClaimed(String pool, long token) {
            takeOwnership(pool, token);
        }

        @Override
        public void allClaimsLapsed() {
            forEachClaim(ClaimHolder::claimLapsed);
        }

        @Override
        public void storeReturned() {
            context.logDecision(Decision.of("store-returned"));
            operatorEntries.watchAgain();
            liveMirror.watchAgain();
            registry.watchAgain();
            forEachRunner(PoolRunner::sendCommitAgain);
        }

        @Override
        public void leaseObtained() {
            renewLapsedClaims(context.now());
        }
    }
}
