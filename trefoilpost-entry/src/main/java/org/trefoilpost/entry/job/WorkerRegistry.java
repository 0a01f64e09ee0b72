package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.trefoilpost.decision.job.CapacityKnowledge;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.DelistedWorker;
import org.trefoilpost.decision.job.DelistedWorkers;
import org.trefoilpost.decision.job.GoneReason;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.RegistryAbsences;
import org.trefoilpost.decision.job.StoreConfirmation;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.WorkerEvidence;

/**
 * The workers that the platform's registry in the store lists.
 */
final class WorkerRegistry implements StoreMirror.Listener, WorkerEvidence {
    /** Delay after a change, in milliseconds, while this entry owns no pool. */
    private static final long IDLE_WATCH_DELAY_MILLIS = 4_000;

    /** Delay after a change, in milliseconds, so that the owner of a pool handles changes in batches. */
    static final long OWNER_WATCH_DELAY_MILLIS = 350;

    /** Delay after a change, in milliseconds, while machines arrive whose workers can start tasks as soon as they are known. */
    private static final long ARRIVAL_WATCH_DELAY_MILLIS = 60;

    private final JobContext context;
    private final StoreMirror mirror;
    private final Runnable onChange;
    private final Map<String, RegisteredWorker> workers = new HashMap<>();
    private final RegistryAbsences absences;
    private final DelistedWorkers delistedWorkers;
    private CapacityKnowledge capacityKnowledge;
    private boolean capacitiesKnown = true;

    WorkerRegistry(JobContext context, LongSupplier pauseMillis, Runnable onChange) {
        this.context = context;
        this.onChange = onChange;
        this.absences = new RegistryAbsences(context.now().steadyMillis());
        this.delistedWorkers =
                new DelistedWorkers(context.settings().timeouts(), context.now().steadyMillis());
        this.capacityKnowledge = CapacityKnowledge.none(context.settings().capacityBound(), context.now());
        this.mirror = new StoreMirror(
                context.ports().formats().workerPrefix(), context, watchTimes(context), pauseMillis, this);
    }

    /**
     * Returns the times with which the owner of a pool knows that a worker drains before it may start no more tasks there.
     */
    private static WatchTimes watchTimes(JobContext context) {
        return WatchTimes.within(context.settings().timeouts().minDrainMillis() - OWNER_WATCH_DELAY_MILLIS);
    }

    /**
     * Returns the delay after a change before the registry is watched again, in milliseconds.
     *
     * @param ownedPools  the runners of the pools that this entry owns
     */
    static long watchDelayMillis(Collection<PoolRunner> ownedPools) {
        if (ownedPools.isEmpty()) {
            return IDLE_WATCH_DELAY_MILLIS;
        }
        return ownedPools.stream().anyMatch(PoolRunner::awaitsMachines)
                ? ARRIVAL_WATCH_DELAY_MILLIS
                : OWNER_WATCH_DELAY_MILLIS;
    }

    void start() {
        mirror.start();
    }

    /**
     * Reads the registry again, and runs a callback when that is done.
     */
    void refresh(Runnable done) {
        mirror.refresh(done);
    }

    /**
     * Watches again at once, as the store has returned after a silence.
     */
    void watchAgain() {
        mirror.watchAgain();
    }

    boolean isLoaded() {
        return mirror.isLoaded();
    }

    long reconnectedMillis() {
        return mirror.reconnectedMillis();
    }

    /**
     * Returns the machines on which workers are registered, empty until the registry is loaded.
     */
    Optional<Set<String>> machinesWithWorkers() {
        return isLoaded()
                ? Optional.of(workers.values().stream()
                        .map(RegisteredWorker::machine)
                        .filter(machine -> !machine.isEmpty())
                        .collect(Collectors.toSet()))
                : Optional.empty();
    }

    Collection<RegisteredWorker> workersOfPool(String pool) {
        List<RegisteredWorker> matching = new ArrayList<>();
        for (RegisteredWorker worker : workers.values()) {
            if (worker.pool().equals(pool)) {
                matching.add(worker);
            }
        }
        return matching;
    }

    /**
     * Returns the workers of a pool that the registry has ceased to list and on which runs may go on of which the store does not know.
     *
     * @param stored  the workers that an earlier owner has stored as those that may have such runs, empty if none has: then all count
     *     that have ceased to be listed since this entry follows the registry
     */
    Collection<DelistedWorker> delistedWorkers(String pool, Optional<List<RegisteredWorker>> stored) {
        return delistedWorkers.withUnstoredRuns(
                pool, stored, workers.keySet(), context.now().steadyMillis());
    }

    /**
     * {@inheritDoc}
     *
     * <p>It is known if its machine runs a later worker, or if the registry has ceased to list it and has been heard of lately.
     */
    @Override
    public Optional<GoneReason> goneReason(RegisteredWorker worker) {
        if (workers.values().stream().anyMatch(other -> other.replaces(worker))) {
            return Optional.of(GoneReason.REPLACED);
        }
        boolean absent = capacityKnowledge.isSufficient(context.now()) && absences.isAbsent(worker.id());
        return absent ? Optional.of(GoneReason.NOT_REGISTERED) : Optional.empty();
    }

    @Override
    public void reloaded() {
        List<RegisteredWorker> formerlyListed = List.copyOf(workers.values());
        workers.clear();
        absences.readAgain(context.now().steadyMillis());
        mirror.items().values().forEach(this::put);
        formerlyListed.stream()
                .filter(worker -> !workers.containsKey(worker.id()))
                .forEach(this::delisted);
    }

    @Override
    public void itemChanged(String key, Optional<StorePort.Item> item) {
        if (item.isPresent()) {
            put(item.get());
        } else {
            String id = key.substring(context.ports().formats().workerPrefix().length());
            absences.removed(id, context.now().steadyMillis());
            remove(id).ifPresent(removed -> context.ports().workers().closeConnections(removed.address()));
        }
    }

    @Override
    public void changesApplied() {
        onChange.run();
    }

    @Override
    public void confirmed(Moment moment) {
        capacityKnowledge = capacityKnowledge.confirmed(moment, context.now());
        if (StoreConfirmation.isDiverged(moment, context.now())) {
            absences.interrupted(context.now().steadyMillis());
        } else {
            absences.confirmed(moment.steadyMillis());
        }
    }

    @Override
    public void answersAgain(long silenceMillis) {
        capacityKnowledge = capacityKnowledge.afterSilence(silenceMillis, context.now());
        absences.interrupted(context.now().steadyMillis());
    }

    /**
     * Returns whether the capacities that the workers have reported are known well enough to start tasks; logs each change.
     */
    boolean areCapacitiesKnown(Moment now) {
        boolean sufficient = capacityKnowledge.isSufficient(now);
        if (sufficient != capacitiesKnown) {
            capacitiesKnown = sufficient;
            context.logDecision((sufficient ? Decision.of("capacities-known") : Decision.failure("capacities-unknown"))
                    .withAll(capacityKnowledge.inputs(now)));
        }
        return sufficient;
    }

    private void put(StorePort.Item item) {
        String id =
                item.key().substring(context.ports().formats().workerPrefix().length());
        absences.listed(id);
        Optional<RegisteredWorker> worker = context.ports().formats().worker(item);
        if (worker.isPresent()) {
            workers.put(id, worker.get());
            delistedWorkers.listed(id);
        } else {
            remove(id);
            context.logDecision(Decision.failure("registry-entry-unreadable")
                    .with("worker", id)
                    .with("revision", item.revision())
                    .with("bytes", item.value().length));
        }
    }

    /** Removes a worker that is no longer listed, and returns it as last listed, empty if it was not. */
    private Optional<RegisteredWorker> remove(String id) {
        Optional<RegisteredWorker> removed = Optional.ofNullable(workers.remove(id));
        removed.ifPresent(this::delisted);
        return removed;
    }

    private void delisted(RegisteredWorker worker) {
        delistedWorkers.removed(worker, context.now().steadyMillis());
    }
}
