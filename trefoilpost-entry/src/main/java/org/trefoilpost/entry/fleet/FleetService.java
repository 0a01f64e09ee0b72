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
public final class FleetService implements PlanExecution.Callbacks, AutoCloseable {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long LIST_INTERVAL_MILLIS = 1_000;
    private static final long LOAD_RETRY_DELAY_MILLIS = 500;
    private static final long TICK_INTERVAL_MILLIS = 250;

    private final FleetContext context;
    private final ServiceThread<Consumer<Long>> serviceThread;
    private final FleetState state = new FleetState();
    private final LocalCordons cordons;
    private final EventRecorder eventRecorder;
    private final WorkOwnership ownership;
    private final PlanExecutions planExecutions;
    private final LedgerCleaner ledgerCleaner;
    private final RepairScheduler repairScheduler;
    private volatile StoreWatcher watcher;
    private boolean membersOutdated;

    private FleetService(FleetContext context) {
        this.context = context;
        this.serviceThread = ServiceThread.of("fleet", QUEUE_CAPACITY, context.clock());
        this.cordons = new LocalCordons(context.ports());
        this.eventRecorder = new EventRecorder(context.store());
        this.ownership = new WorkOwnership(context.entry(), context.ports());
        StepExecutor acts = new StepExecutor(context, state, cordons, this::uncordon);
        this.planExecutions = new PlanExecutions(context, state, acts, this, ownership);
        this.ledgerCleaner = new LedgerCleaner(context.store(), state, ownership, this);
        PlanService desk = PlanService.of(this, context.store(), context.clock());
        this.repairScheduler = new RepairScheduler(state, ownership, desk, this);
    }

    /**
     * Starts the duty.
     *
     * @param context  what the duty works with, not null
     * @return the duty, not null
     */
    public static FleetService start(FleetContext context) {
        FleetService fleet = new FleetService(context);
        fleet.serviceThread.start(Consumer::accept);
        fleet.serviceThread.post(fleet::pollInstances);
        fleet.serviceThread.post(fleet::tick);
        fleet.serviceThread.post(fleet::loadDocuments);
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
        serviceThread.post(now -> {
            state.configuration(configuration);
            assignInitialPools();
            publishMembers();
        });
    }

    /**
     * Takes in a cordon or an uncordon that a peer told.
     *
     * @param cordon  the cordon, not null
     */
    public void applyCordon(CordonChange cordon) {
        serviceThread.post(now -> cordons.apply(cordon));
    }

    /**
     * Takes in a cordon, then returns how many requests this entry has in flight on its worker.
     *
     * @param cordon  the cordon, not null
     * @return the count, not null
     */
    public CompletableFuture<DrainCount> drainCount(CordonChange cordon) {
        return query(fleet -> {
                    cordons.apply(cordon);
                    return cordons.acknowledgedAttempt(cordon.plan(), cordon.step());
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
        return query(fleet -> {
            cordons.apply(cordon);
            boolean back = stoppedIncarnation == 0
                    || fleet.worker(cordon.worker())
                            .filter(worker -> worker.state() == WorkerState.LIVE)
                            .filter(worker -> worker.incarnation() > stoppedIncarnation)
                            .isPresent();
            if (!back) {
                readInstances();
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
    <T> CompletableFuture<T> query(Function<FleetState, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        serviceThread.post(now -> {
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
    CompletableFuture<Set<WorkerId>> cordonedWorkers() {
        return query(fleet -> cordons.cordonedWorkers());
    }

    /**
     * Records events.
     *
     * @param happened  the events, not null
     */
    void record(List<FleetEvent> happened) {
        serviceThread.post(now -> eventRecorder.record(happened));
    }

    /**
     * Ends the duty's thread.
     */
    @Override
    public void close() {
        Optional.ofNullable(watcher).ifPresent(StoreWatcher::close);
        serviceThread.close();
    }

    @Override
    public void post(Consumer<Long> event) {
        serviceThread.post(event);
    }

    @Override
    public void planSaved(Versioned<WaveState> saved, List<FleetEvent> happened) {
        state.documents().put(saved);
        cordons.apply(saved.document(), state.plans());
        eventRecorder.record(happened);
    }

    @Override
    public void planEnded(WaveState ended) {
        PlanDigest digest = ended.plan().digest();
        context.store()
                .read(FleetKeys.PLAN_INDEX)
                .thenAccept(value -> value.ifPresent(found -> markEndedInIndex(digest, found)));
    }

    @Override
    public void reload(String key) {
        context.store().read(key).whenComplete((value, failure) -> {
            if (failure == null) {
                serviceThread.post(now -> documentRead(key, value));
            }
        });
    }

    private void markEndedInIndex(PlanDigest digest, StoredValue found) {
        PlanIndex index = PlanIndexCodec.decode(found.bytes());
        PlanIndex next = index.withPlanEnded(digest);
        if (!next.equals(index)) {
            context.store()
                    .write(FleetKeys.PLAN_INDEX, found.revision(), PlanIndexCodec.encode(next), Optional.empty())
                    .whenComplete((outcome, failure) -> reload(FleetKeys.PLAN_INDEX));
        }
    }

    private void pollInstances(long nowMillis) {
        readInstances()
                .whenComplete((done, failure) -> serviceThread.post(
                        now -> serviceThread.schedule(now + LIST_INTERVAL_MILLIS, this::pollInstances)));
    }

    private CompletableFuture<Void> readInstances() {
        return context.instances()
                .read()
                .thenCombine(context.ports().ejected(), (workers, ejected) -> new Observation(workers, ejected))
                .handle((observation, failure) -> {
                    serviceThread.post(now -> instancesRead(observation, failure));
                    return null;
                });
    }

    private void instancesRead(Observation observation, Throwable failure) {
        if (failure == null) {
            boolean changed = state.updateWorkers(observation.workers, observation.ejected);
            assignInitialPools();
            if (changed) {
                publishMembers();
            }
        } else {
            context.metrics().count("trefoilpost.store.failures", "instance-list");
        }
    }

    private void publishMembers() {
        membersOutdated = false;
        context.ports().replacePoolMembers(state.members());
    }

    private void assignInitialPools() {
        if (!isLoaded()) {
            return;
        }
        InitialPoolAssignment.inventoriesToWrite(state).forEach((rack, inventory) -> {
            if (ownership.isOwnedHere(rack.text())) {
                assignInitialPools(rack, inventory);
            }
        });
    }

    private void assignInitialPools(RackName rack, RackInventory inventory) {
        String key = FleetKeys.inventory(rack);
        if (state.documents().unreadableKeys().contains(key)) {
            return;
        }
        long revision =
                state.documents().inventory(rack).map(Versioned::revision).orElse(0L);
        context.store()
                .write(key, revision, RackInventoryCodec.encode(inventory), Optional.empty())
                .whenComplete((outcome, failure) -> reload(key));
    }

    private void loadDocuments(long nowMillis) {
        context.store()
                .list(FleetKeys.FLEET_PREFIX)
                .whenComplete((values, failure) -> serviceThread.post(now -> {
                    if (failure != null) {
                        serviceThread.schedule(now + LOAD_RETRY_DELAY_MILLIS, this::loadDocuments);
                        return;
                    }
                    values.forEach(value -> documentRead(value.key(), Optional.of(value)));
                    long revision = values.stream()
                            .mapToLong(StoredValue::revision)
                            .max()
                            .orElse(0);
                    watcher = StoreWatcher.start(
                            context.store(),
                            FleetKeys.FLEET_PREFIX,
                            revision,
                            (answer, start) -> documentsChanged(answer),
                            context.clock());
                }));
    }

    private void documentsChanged(WatchAnswer answer) {
        answer.changes().keySet().forEach(this::reload);
    }

    private void documentRead(String key, Optional<StoredValue> value) {
        if (value.isPresent()) {
            state.documents().put(value.get());
        } else {
            state.documents().remove(key);
        }
        if (key.startsWith(FleetKeys.PLAN_PREFIX) && value.isPresent()) {
            state.documents().plan(key).ifPresent(plan -> cordons.apply(plan.document(), state.plans()));
        } else if (key.startsWith(FleetKeys.INVENTORY_PREFIX)) {
            membersOutdated = true;
        }
    }

    private void tick(long nowMillis) {
        serviceThread.schedule(nowMillis + TICK_INTERVAL_MILLIS, this::tick);
        if (membersOutdated) {
            publishMembers();
        }
        if (isLoaded() && context.ports().isConfigurationFresh(nowMillis)) {
            planExecutions.tick(nowMillis);
            ledgerCleaner.tick(nowMillis);
            repairScheduler.tick(nowMillis);
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
