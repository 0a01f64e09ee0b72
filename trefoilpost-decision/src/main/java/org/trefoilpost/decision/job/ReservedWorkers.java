package org.trefoilpost.decision.job;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The workers that a round of placements keeps free for steps that do not fit, so that smaller tasks do not keep taking the free
 * capacity first.
 */
final class ReservedWorkers {
    /** Time after which workers are reserved for a ready step that does not fit. */
    private static final long STARVATION_MILLIS = 700;

    /** The maximum number of workers reserved for steps that do not fit, apart from gangs. */
    private static final int MAX_RESERVED_WORKERS = 2;

    private final PoolState state;
    private final PlacementAdvice advice;
    private final WaitingStepLog waitingSteps;
    private final Set<PoolWorker> workers = new HashSet<>();

    ReservedWorkers(PoolState state, PlacementAdvice advice) {
        this.state = state;
        this.advice = advice;
        this.waitingSteps = new WaitingStepLog(state);
    }

    /**
     * Begins a round, in which no worker is reserved yet.
     */
    void clear() {
        workers.clear();
    }

    boolean contains(PoolWorker worker) {
        return workers.contains(worker);
    }

    /**
     * Returns the reserved workers, to which others may be added.
     */
    Set<PoolWorker> workers() {
        return workers;
    }

    /**
     * Reserves workers for a step that is long-running or has waited for {@link #STARVATION_MILLIS}: one, or as many as a gang needs.
     * None on which other long-running tasks leave no room, as that would stay idle.
     */
    void reserveFor(JobStepState step, Moment now) {
        boolean starving = step.spec.longRunning() || now.steadyMillis() - step.readyMillis > STARVATION_MILLIS;
        if (!starving || step.spec.bestEffort() || !state.teamGate.hasRoom(step)) {
            return;
        }
        if (step.spec.gang()) {
            reserveForGang(step, now);
        } else if (workers.size() < MAX_RESERVED_WORKERS) {
            Optional<PoolWorker> best = eligibleWorkers(step, now).stream()
                    .filter(worker -> worker.isBelowTaskLimit(step)
                            && step.spec.reservedDemand().fitsIn(worker.capacityBesideLongRunning()))
                    .max(Comparator.comparingLong(
                            worker -> worker.freeResources().memoryMb()));
            best.ifPresent(workers::add);
            waitingSteps.log(step, step.spec.reservedDemand(), best, now);
        }
    }

    /**
     * Reserves workers for all tasks of a gang, those with the most free capacity first. A gang that ends gets no more than half
     * of the pool.
     */
    private void reserveForGang(JobStepState step, Moment now) {
        List<PoolWorker> eligible = eligibleWorkers(step, now).stream()
                .sorted(Comparator.comparingLong(
                                (PoolWorker worker) -> worker.freeResources().cpuMillis())
                        .reversed())
                .toList();
        List<PoolWorker> chosen = GangPlacement.chooseWorkers(step, eligible, PoolWorker::capacityBesideLongRunning);
        Set<PoolWorker> distinct = new HashSet<>(chosen);
        int limit = step.spec.longRunning() ? state.workers.size() : state.workers.size() / 2;
        if (workers.size() + distinct.size() <= Math.max(MAX_RESERVED_WORKERS, limit)) {
            workers.addAll(distinct);
        }
        waitingSteps.log(step, step.spec.reservedDemand(), chosen.stream().findFirst(), now);
    }

    private List<PoolWorker> eligibleWorkers(JobStepState step, Moment now) {
        return state.workers.values().stream()
                .filter(worker -> worker.suits(step.spec, now.steadyMillis())
                        && !workers.contains(worker)
                        && advice.mayAwait(step, worker, now.steadyMillis()))
                .toList();
    }
}
