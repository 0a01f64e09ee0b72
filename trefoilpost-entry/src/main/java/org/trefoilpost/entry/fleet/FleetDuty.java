package org.trefoilpost.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.trefoilpost.decision.claim.ShardMap;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.plan.ConfirmedPlan;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanIndex;
import org.trefoilpost.decision.plan.PlanIndexCodec;
import org.trefoilpost.decision.wave.BudgetExceeded;
import org.trefoilpost.decision.wave.WaveEvent;
import org.trefoilpost.decision.wave.WaveLimits;
import org.trefoilpost.decision.wave.WaveResumed;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.decision.wave.WaveStepper;
import org.trefoilpost.decision.wave.WaveTick;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.platform.StoreWatcher;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.entry.platform.WatchAnswer;
import org.trefoilpost.entry.runtime.Duty;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.worker.Worker;

/**
 * The duty that knows the fleet and executes confirmed plans. Its methods may be called from any thread.
 */
public final class FleetDuty implements PlanRun.Host, AutoCloseable {
    private static final EventLog LOG = EventLog.of(FleetDuty.class);
    private static final int RING_CAPACITY = 4_096;
    private static final long LIST_INTERVAL_MILLIS = 1_000;
    private static final long LOAD_RETRY_MILLIS = 500;
    private static final long TICK_MILLIS = 250;
    private static final int EXECUTION_SHARDS = 1_024;

    private final FleetContext context;
    private final Duty<Consumer<Long>> duty;
    private final FleetState state = new FleetState();
    private final CordonBook cordons;
    private final StepActs acts;
    private final WaveStepper stepper = WaveStepper.of(WaveLimits.DEFAULT);
    private final EventRecorder events;
    private final Map<PlanDigest, PlanRun> runs = new HashMap<>();
    private volatile StoreWatcher watcher;
    private boolean planStopsAllowed;

    private FleetDuty(FleetContext context) {
        this.context = context;
        this.duty = Duty.of("fleet", RING_CAPACITY, context.clock());
        this.cordons = new CordonBook(context.ports());
        this.acts = new StepActs(context, state, cordons);
        this.events = new EventRecorder(context.store());
    }

    /**
     * Starts the duty.
     *
     * @param context  what the duty works with, not null
     * @return the duty, not null
     */
    public static FleetDuty start(FleetContext context) {
        FleetDuty fleet = new FleetDuty(context);
        fleet.duty.start(Consumer::accept);
        fleet.duty.post(fleet::readList);
        fleet.duty.post(fleet::tick);
        fleet.duty.post(fleet::loadAll);
        return fleet;
    }

    /**
     * Returns whether the fleet's documents have been read, so that the pools and the cordons are known.
     *
     * @return true if they have
     */
    public boolean isLoaded() {
        return watcher != null;
    }

    /**
     * Puts a configuration in force.
     *
     * @param configuration  the configuration, not null
     */
    public void configure(Configuration configuration) {
        duty.post(now -> {
            state.configuration(configuration);
            adopt();
            tellMembers();
        });
    }

    /**
     * Sets whether planned stops may go on; they halt while the configuration in force may be out of date.
     *
     * @param allowed  true if they may go on
     */
    public void planStops(boolean allowed) {
        duty.post(now -> planStopsAllowed = allowed);
    }

    /**
     * Takes in a cordon or an uncordon that a peer told.
     *
     * @param cordon  the cordon, not null
     */
    public void cordonTold(Cordon cordon) {
        duty.post(now -> cordons.apply(cordon));
    }

    /**
     * Returns how many requests this entry has in flight on a cordoned worker.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param worker  the worker, not null
     * @return the count, not null
     */
    public CompletableFuture<DrainCount> drainCount(PlanDigest plan, int step, WorkerId worker) {
        return ask(fleet -> cordons.acknowledged(plan, step))
                .thenCompose(acknowledged -> context.ports()
                        .inFlight()
                        .thenApply(counts -> DrainCount.of(acknowledged, counts.getOrDefault(worker, 0))));
    }

    /**
     * Reads what this entry knows of the fleet, on the duty's thread.
     *
     * @param <T>  the type of the result
     * @param question  reads the state, not null
     * @return the result, not null
     */
    <T> CompletableFuture<T> ask(Function<FleetState, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        duty.post(now -> {
            try {
                answer.complete(question.apply(state));
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    /**
     * Returns the cordoned workers, as the duty's thread knows them.
     *
     * @return the workers, not null
     */
    CompletableFuture<Set<WorkerId>> cordoned() {
        return ask(fleet -> cordons.workers());
    }

    /**
     * Hands an event to the plan that this entry executes; other entries read it from the plan's document.
     *
     * @param plan  the digest of the plan, not null
     * @param event  the event, not null
     */
    void planEvent(PlanDigest plan, WaveEvent event) {
        duty.post(now -> Optional.ofNullable(runs.get(plan)).ifPresent(run -> run.apply(event, now)));
    }

    /**
     * Records events.
     *
     * @param happened  the events, not null
     */
    void record(List<FleetEvent> happened) {
        duty.post(now -> events.record(happened));
    }

    /**
     * Ends the duty's thread.
     */
    @Override
    public void close() {
        Optional.ofNullable(watcher).ifPresent(StoreWatcher::close);
        duty.close();
    }

    @Override
    public void post(Consumer<Long> event) {
        duty.post(event);
    }

    @Override
    public void planSaved(Versioned<WaveState> saved, List<FleetEvent> happened) {
        state.documents().plans().put(saved.document().plan().digest(), saved);
        cordons.apply(saved.document());
        events.record(happened);
    }

    @Override
    public void planEnded(WaveState ended) {
        PlanDigest digest = ended.plan().digest();
        context.store().read(FleetKeys.INDEX).thenAccept(value -> value.ifPresent(found -> endPlan(digest, found)));
    }

    @Override
    public void reload(String key) {
        context.store().read(key).whenComplete((value, failure) -> {
            if (failure == null) {
                duty.post(now -> loaded(key, value));
            }
        });
    }

    private void endPlan(PlanDigest digest, StoredValue found) {
        PlanIndex index = PlanIndexCodec.decode(found.bytes());
        PlanIndex next = index.withEnd(digest);
        if (!next.equals(index)) {
            context.store()
                    .write(FleetKeys.INDEX, found.revision(), PlanIndexCodec.encode(next), Optional.empty())
                    .whenComplete((outcome, failure) -> reload(FleetKeys.INDEX));
        }
    }

    private void readList(long nowMillis) {
        context.instances()
                .read()
                .thenCombine(context.ports().ejected(), (workers, ejected) -> new Observation(workers, ejected))
                .whenComplete((observation, failure) -> duty.post(now -> observed(observation, failure, now)));
    }

    private void observed(Observation observation, Throwable failure, long nowMillis) {
        if (failure == null) {
            state.listed(observation.workers);
            state.ejected(observation.ejected);
            adopt();
            tellMembers();
        } else {
            context.metrics().count("trefoilpost.store.failures", "instance-list");
        }
        duty.schedule(nowMillis + LIST_INTERVAL_MILLIS, this::readList);
    }

    private void tellMembers() {
        context.ports().members(state.members());
    }

    private void adopt() {
        if (!isLoaded()) {
            return;
        }
        Adoption.due(state).forEach((rack, inventory) -> {
            if (isResponsible(rack.text())) {
                adopt(rack, inventory);
            }
        });
    }

    private void adopt(RackName rack, RackInventory inventory) {
        String key = FleetKeys.inventory(rack);
        if (state.documents().unreadable().contains(key)) {
            return;
        }
        long revision =
                state.documents().inventory(rack).map(Versioned::revision).orElse(0L);
        context.store()
                .write(key, revision, RackInventoryCodec.encode(inventory), Optional.empty())
                .whenComplete((outcome, failure) -> reload(key));
    }

    private void loadAll(long nowMillis) {
        context.store()
                .list(FleetKeys.FLEET)
                .whenComplete((values, failure) -> duty.post(now -> {
                    if (failure != null) {
                        duty.schedule(now + LOAD_RETRY_MILLIS, this::loadAll);
                        return;
                    }
                    values.forEach(value -> loaded(value.key(), Optional.of(value)));
                    long revision = values.stream()
                            .mapToLong(StoredValue::revision)
                            .max()
                            .orElse(0);
                    watcher = StoreWatcher.start(
                            context.store(),
                            FleetKeys.FLEET,
                            revision,
                            (answer, start) -> changed(answer),
                            context.clock());
                }));
    }

    private void changed(WatchAnswer answer) {
        answer.changes().keySet().forEach(this::reload);
    }

    private void loaded(String key, Optional<StoredValue> value) {
        if (value.isPresent()) {
            state.documents().put(value.get());
        } else {
            state.documents().remove(key);
        }
        if (key.startsWith(FleetKeys.PLANS) && value.isPresent()) {
            state.documents().plan(key).ifPresent(plan -> cordons.apply(plan.document()));
        } else if (key.startsWith(FleetKeys.INVENTORY)) {
            tellMembers();
        }
    }

    private void tick(long nowMillis) {
        duty.schedule(nowMillis + TICK_MILLIS, this::tick);
        runs.values().removeIf(PlanRun::isEnded);
        if (!planStopsAllowed || !isLoaded()) {
            return;
        }
        for (ConfirmedPlan plan : state.documents().index().document().plans()) {
            if (!plan.ended()) {
                tick(plan.digest(), nowMillis);
            }
        }
    }

    private void tick(PlanDigest digest, long nowMillis) {
        Versioned<WaveState> present = state.documents().plans().get(digest);
        if (!isResponsible(digest.text()) || present == null) {
            runs.remove(digest);
            return;
        }
        PlanRun run = runs.get(digest);
        if (run == null) {
            run = new PlanRun(context, stepper, acts, this, present);
            runs.put(digest, run);
            LOG.info(LogEvent.of("plan-executed-here").with("plan", digest.text()));
            run.apply(WaveResumed.INSTANCE, nowMillis);
        }
        tellExceeded(run, present.document(), nowMillis);
        run.apply(WaveTick.INSTANCE, nowMillis);
    }

    private void tellExceeded(PlanRun run, WaveState wave, long nowMillis) {
        for (PoolName pool : wave.plan().touchedPools()) {
            int headroom = state.figures(pool).headroom();
            if (headroom < 0) {
                run.apply(BudgetExceeded.of(pool, -headroom), nowMillis);
            }
        }
    }

    /** Returns whether this entry is the one of the live entries that looks after something. */
    private boolean isResponsible(String name) {
        Set<EntryId> live = context.ports().liveEntries();
        ShardMap entries = ShardMap.of(EXECUTION_SHARDS, live);
        int shard = Math.floorMod(name.hashCode(), EXECUTION_SHARDS);
        return entries.preferredOwner(shard)
                .map(owner -> owner.equals(context.entry()))
                .orElse(true);
    }

    /**
     * What was seen of the workers at one time.
     */
    private static final class Observation {
        private final List<Worker> workers;
        private final Set<WorkerId> ejected;

        private Observation(List<Worker> workers, Set<WorkerId> ejected) {
            this.workers = new ArrayList<>(workers);
            this.ejected = ejected;
        }
    }
}
