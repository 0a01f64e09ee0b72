package org.trefoilpost.entry.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanIndex;
import org.trefoilpost.decision.plan.PlanIndexCodec;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.entry.peer.CordonChange;
import org.trefoilpost.entry.platform.StoreWatcher;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.entry.platform.WatchAnswer;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

/**
 * The duty that knows the fleet and executes confirmed plans. Its methods may be called from any thread.
 */
public final class FleetDuty implements PlanRun.Host, AutoCloseable {
    private static final int RING_CAPACITY = 4_096;
    private static final long LIST_INTERVAL_MILLIS = 1_000;
    private static final long LOAD_RETRY_MILLIS = 500;
    private static final long TICK_MILLIS = 250;

    private final FleetContext context;
    private final ServiceThread<Consumer<Long>> duty;
    private final FleetState state = new FleetState();
    private final CordonBook cordons;
    private final EventRecorder events;
    private final Responsibility responsibility;
    private final PlanRuns plans;
    private final LedgerSweep sweep;
    private final Repairs repairs;
    private volatile StoreWatcher watcher;
    private boolean membersChanged;

    private FleetDuty(FleetContext context) {
        this.context = context;
        this.duty = ServiceThread.of("fleet", RING_CAPACITY, context.clock());
        this.cordons = new CordonBook(context.ports());
        this.events = new EventRecorder(context.store());
        this.responsibility = new Responsibility(context.entry(), context.ports());
        StepActs acts = new StepActs(context, state, cordons, this::uncordon);
        this.plans = new PlanRuns(context, state, acts, this, responsibility);
        this.sweep = new LedgerSweep(context.store(), state, responsibility, this);
        PlanDesk desk = PlanDesk.of(this, context.store(), context.clock());
        this.repairs = new Repairs(state, responsibility, desk, this);
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
     * Takes in a cordon or an uncordon that a peer told.
     *
     * @param cordon  the cordon, not null
     */
    public void cordonTold(CordonChange cordon) {
        duty.post(now -> cordons.apply(cordon));
    }

    /**
     * Takes in a cordon, then returns how many requests this entry has in flight on its worker.
     *
     * @param cordon  the cordon, not null
     * @return the count, not null
     */
    public CompletableFuture<DrainCount> drainCount(CordonChange cordon) {
        return ask(fleet -> {
                    cordons.apply(cordon);
                    return cordons.acknowledged(cordon.plan(), cordon.step());
                })
                .thenCompose(acknowledged -> context.ports()
                        .inFlight()
                        .thenApply(counts -> DrainCount.of(acknowledged, counts.getOrDefault(cordon.worker(), 0))));
    }

    /**
     * Takes in an uncordon, and tells whether this entry gives the worker work again.
     *
     * @param cordon  the uncordon, not null
     * @param stoppedIncarnation  the worker's incarnation that was stopped, 0 if none was
     * @return true if the list of instances shows the worker back; else the list is read anew at once, not null
     */
    public CompletableFuture<Boolean> uncordon(CordonChange cordon, long stoppedIncarnation) {
        return ask(fleet -> {
            cordons.apply(cordon);
            boolean back = stoppedIncarnation == 0
                    || fleet.worker(cordon.worker())
                            .filter(worker -> worker.state() == WorkerState.LIVE)
                            .filter(worker -> worker.incarnation() > stoppedIncarnation)
                            .isPresent();
            if (!back) {
                listOnce();
            }
            return back;
        });
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
        state.documents().put(saved);
        cordons.apply(saved.document(), state.plans());
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
        PlanIndex next = index.withPlanEnded(digest);
        if (!next.equals(index)) {
            context.store()
                    .write(FleetKeys.INDEX, found.revision(), PlanIndexCodec.encode(next), Optional.empty())
                    .whenComplete((outcome, failure) -> reload(FleetKeys.INDEX));
        }
    }

    private void readList(long nowMillis) {
        listOnce()
                .whenComplete(
                        (done, failure) -> duty.post(now -> duty.schedule(now + LIST_INTERVAL_MILLIS, this::readList)));
    }

    private CompletableFuture<Void> listOnce() {
        return context.instances()
                .read()
                .thenCombine(context.ports().ejected(), (workers, ejected) -> new Observation(workers, ejected))
                .handle((observation, failure) -> {
                    duty.post(now -> observed(observation, failure));
                    return null;
                });
    }

    private void observed(Observation observation, Throwable failure) {
        if (failure == null) {
            boolean changed = state.observed(observation.workers, observation.ejected);
            adopt();
            if (changed) {
                tellMembers();
            }
        } else {
            context.metrics().count("trefoilpost.store.failures", "instance-list");
        }
    }

    private void tellMembers() {
        membersChanged = false;
        context.ports().members(state.members());
    }

    private void adopt() {
        if (!isLoaded()) {
            return;
        }
        Adoption.due(state).forEach((rack, inventory) -> {
            if (responsibility.isOurs(rack.text())) {
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
            state.documents().plan(key).ifPresent(plan -> cordons.apply(plan.document(), state.plans()));
        } else if (key.startsWith(FleetKeys.INVENTORY)) {
            membersChanged = true;
        }
    }

    private void tick(long nowMillis) {
        duty.schedule(nowMillis + TICK_MILLIS, this::tick);
        if (membersChanged) {
            tellMembers();
        }
        if (isLoaded() && context.ports().isConfigurationFresh(nowMillis)) {
            plans.tick(nowMillis);
            sweep.tick(nowMillis);
            repairs.tick(nowMillis);
        }
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
