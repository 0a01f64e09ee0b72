package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which tasks start next, and where.
 *
 * <p>Steps whose job can still meet its objective go first, by the priority of their queue and the latest time at which
 * they can start; steps that fill come last.
 */
final class Placer {
    private static final int MAX_STARTS_IN_FLIGHT = 8;
    private static final long ROUND_MILLIS = 100;

    private final PoolState state;
    private final Orders orders;
    private final Objectives objectives;
    private final AdviceDesk advice;
    private long lastMillis;

    Placer(PoolState state, Orders orders, Objectives objectives, AdviceDesk advice) {
        this.state = state;
        this.orders = orders;
        this.objectives = objectives;
        this.advice = advice;
    }

    /**
     * Starts every task for which there is room, if something has changed or a while has passed.
     */
    void placeIfDue(Moment now) {
        if (state.placementDue || now.steadyMillis() - lastMillis >= ROUND_MILLIS) {
            state.placementDue = false;
            lastMillis = now.steadyMillis();
            place(now);
        }
    }

    private void place(Moment now) {
        List<Candidate> candidates = candidates(now);
        candidates.sort(Comparator.comparingInt(Candidate::rank)
                .thenComparingInt(candidate -> candidate.step.occurrence.job.queue.priority())
                .thenComparingLong(Candidate::latestStartMillis));
        List<Demand> unplaced = new ArrayList<>();
        for (Candidate candidate : candidates) {
            placeStep(candidate.step, unplaced, now);
        }
    }

    private List<Candidate> candidates(Moment now) {
        List<Candidate> candidates = new ArrayList<>();
        for (JobState job : state.openJobs.values()) {
            if (!job.stored || job.queue == null) {
                continue;
            }
            for (OccurrenceState occurrence : job.open()) {
                for (StepState step : occurrence.steps) {
                    if (hasStartable(step, now.steadyMillis())) {
                        candidates.add(candidate(step, now));
                    }
                }
            }
        }
        return candidates;
    }

    private Candidate candidate(StepState step, Moment now) {
        long latest = objectives.latestStartMillis(step, now);
        boolean late = latest + objectives.graceMillis(step) < now.steadyMillis();
        int rank = step.spec.fills() ? Candidate.FILLS : late ? Candidate.LATE : Candidate.IN_TIME;
        return new Candidate(step, rank, latest);
    }

    private boolean hasStartable(StepState step, long nowMillis) {
        if (step.readyMillis == StepState.NOT_READY || step.ended()) {
            return false;
        }
        for (TaskState task : step.tasks) {
            if (startable(task, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean startable(TaskState task, long nowMillis) {
        boolean settled = !task.step.occurrence.job.loaded || !state.earlierRunsPossible(nowMillis);
        return settled && task.startable(nowMillis);
    }

    private void placeStep(StepState step, List<Demand> unplaced, Moment now) {
        if (!advice.ready(step, now)) {
            return;
        }
        if (step.spec.gang()) {
            placeGang(step, now);
            return;
        }
        Demand need = step.spec.reservedDemand();
        boolean plain = step.spec.requiredLabel().isEmpty() && step.spec.maxPerWorker() == 0;
        if (plain && unplaced.stream().anyMatch(hopeless -> hopeless.fitsIn(need))) {
            return;
        }
        Map<WorkerSlot, Integer> perWorker = new HashMap<>();
        for (TaskState task : step.tasks) {
            if (startable(task, now.steadyMillis())) {
                WorkerSlot slot = best(step, need, perWorker, now);
                if (slot == null) {
                    if (plain && step.tickets.isEmpty()) {
                        unplaced.add(need);
                    }
                    return;
                }
                orders.start(task, task.lastRun + 1, slot, now);
                perWorker.merge(slot, 1, Integer::sum);
            }
        }
    }

    private WorkerSlot best(StepState step, Demand need, Map<WorkerSlot, Integer> perWorker, Moment now) {
        WorkerSlot best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerSlot slot : state.slots.values()) {
            if (mayRun(step, need, slot, now) && slot.startsInFlight < MAX_STARTS_IN_FLIGHT && belowLimit(step, slot)) {
                double score = score(step, need, slot, perWorker.getOrDefault(slot, 0));
                if (score > bestScore) {
                    best = slot;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private static boolean belowLimit(StepState step, WorkerSlot slot) {
        return step.spec.maxPerWorker() == 0 || slot.tasksOf(step) < step.spec.maxPerWorker();
    }

    private boolean mayRun(StepState step, Demand need, WorkerSlot slot, Moment now) {
        return slot.acceptsWork(now.steadyMillis())
                && slot.clockKnown()
                && (step.spec.requiredLabel().isEmpty() || slot.report.labels().contains(step.spec.requiredLabel()))
                && need.fitsIn(slot.free())
                && advice.allows(step, slot, now);
    }

    private static double score(StepState step, Demand need, WorkerSlot slot, int placed) {
        Demand free = slot.free().minus(need);
        Demand capacity = slot.report.capacity();
        double cpuLeft = (double) free.cpuMillis() / Math.max(1, capacity.cpuMillis());
        double memoryLeft = (double) free.memoryMb() / Math.max(1, capacity.memoryMb());
        double score = Math.min(cpuLeft, memoryLeft) - 2 * (slot.slowness - 1) - slot.blame;
        if (!step.spec.preferredRack().isEmpty() && !step.spec.preferredRack().equals(slot.report.rack())) {
            score -= 1;
        }
        return step.spec.longRunning() ? score - placed : score;
    }

    private void placeGang(StepState step, Moment now) {
        int number = 1;
        for (TaskState task : step.tasks) {
            if (!startable(task, now.steadyMillis())) {
                return;
            }
            number = Math.max(number, task.lastRun + 1);
        }
        List<WorkerSlot> slots = new ArrayList<>(state.slots.values());
        slots.removeIf(slot -> !mayRun(step, step.spec.reservedDemand(), slot, now));
        List<WorkerSlot> chosen = GangFit.choose(step, slots);
        for (int i = 0; i < chosen.size(); i++) {
            orders.start(step.tasks[i], number, chosen.get(i), now);
        }
    }

    /**
     * A step with tasks that can start.
     */
    private record Candidate(StepState step, int rank, long latestStartMillis) {
        static final int IN_TIME = 0;
        static final int LATE = 1;
        static final int FILLS = 2;
    }
}
