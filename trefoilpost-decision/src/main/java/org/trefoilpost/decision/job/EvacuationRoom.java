package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The room that long-running tasks find on other workers when they are stopped: that of workers which have answered lately and
 * on which placement advice permits them, without what the tasks need that only wait for a worker already. Each amount is given
 * to one task only.
 */
final class EvacuationRoom {
    private final PoolState state;
    private final PlacementAdvice advice;
    private final long nowMillis;
    private final Map<PoolWorker, ResourceAmount> taken = new HashMap<>();
    private final Map<PoolWorker, List<JobStepState>> takers = new HashMap<>();

    private EvacuationRoom(PoolState state, PlacementAdvice advice, long nowMillis) {
        this.state = state;
        this.advice = advice;
        this.nowMillis = nowMillis;
    }

    /**
     * Returns the room that the tasks which wait for a worker leave.
     */
    static EvacuationRoom besideWaitingTasks(PoolState state, PlacementAdvice advice, long nowMillis) {
        EvacuationRoom room = new EvacuationRoom(state, advice, nowMillis);
        for (JobState job : state.openJobs.values()) {
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    if (step.spec.longRunning()) {
                        room.takeForWaiting(step);
                    }
                }
            }
        }
        return room;
    }

    private void takeForWaiting(JobStepState step) {
        for (JobTaskState task : step.tasks) {
            boolean stopping = !task.runs.isEmpty() && task.runs.stream().noneMatch(Run::isActive);
            if (stopping || mayStart(task)) {
                take(step);
            }
        }
    }

    private boolean mayStart(JobTaskState task) {
        return task.step.occurrence.job.stored
                && task.step.readyMillis != JobStepState.NOT_READY
                && state.mayStart(task, nowMillis)
                && !IsolatedPlacer.awaits(task, nowMillis)
                && state.teamGate.hasRoom(task.step);
    }

    /**
     * Takes the room for a task of a step, and returns the worker that has it, empty if there is none.
     */
    Optional<PoolWorker> take(JobStepState step) {
        Optional<PoolWorker> worker = state.workers.values().stream()
                .filter(candidate -> candidate.hasFreshAnswer(nowMillis) && hasRoom(step, candidate))
                .findFirst();
        worker.ifPresent(found -> {
            taken.merge(found, step.spec.reservedDemand(), ResourceAmount::plus);
            takers.computeIfAbsent(found, key -> new ArrayList<>()).add(step);
        });
        return worker;
    }

    /**
     * Returns the workers that would have room for a task of a step if they answer, as far as is known of them; the one with the
     * latest answer first.
     */
    List<PoolWorker> workersToAsk(JobStepState step) {
        return state.workers.values().stream()
                .filter(candidate -> !candidate.hasFreshAnswer(nowMillis) && hasRoom(step, candidate))
                .sorted(Comparator.comparingLong((PoolWorker worker) -> worker.lastAnswerMillis)
                        .reversed())
                .toList();
    }

    private boolean hasRoom(JobStepState step, PoolWorker worker) {
        ResourceAmount free = worker.freeResources().minus(taken.getOrDefault(worker, ResourceAmount.NONE));
        return worker.suits(step.spec, nowMillis)
                && step.spec.reservedDemand().fitsIn(free)
                && isBelowTaskLimit(step, worker)
                && advice.allows(step, worker, nowMillis);
    }

    private boolean isBelowTaskLimit(JobStepState step, PoolWorker worker) {
        long expected = takers.getOrDefault(worker, List.of()).stream()
                .filter(taker -> taker == step)
                .count();
        return step.spec.maxPerWorker() == 0 || worker.countTasksOf(step) + expected < step.spec.maxPerWorker();
    }
}
