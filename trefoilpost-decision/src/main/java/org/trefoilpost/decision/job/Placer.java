package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses which tasks start next, and where.
 *
 * <p>Steps whose job can still meet its objective go first, by the priority of their queue and the latest time at which
 * they can start; steps that fill come last.
 */
final class Placer {
    private static final int MAX_STARTS_IN_FLIGHT = 8;
    private static final long ROUND_MILLIS = 100;
    /** Time in milliseconds after which a step that does not fit gets a worker of its own. */
    private static final long STARVING_MILLIS = 700;

    private static final long EXPLAIN_MILLIS = 1_000;
    /** The most workers that are kept free for steps that do not fit. */
    private static final int MAX_RESERVED = 2;
    /** What another task of the same step on a worker counts against it, in shares of a worker. */
    private static final double LASTING_SPREAD = 0.3;

    private final PoolState state;
    private final Orders orders;
    private final Objectives objectives;
    private final AdviceDesk advice;
    private final Set<WorkerSlot> reserved = new HashSet<>();
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
        reserved.clear();
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
        boolean settled = !task.mayRunUnseen || !state.earlierRunsPossible(nowMillis);
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
                    reserveIfStarving(step, need, now);
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
            if (mayRun(step, need, slot, now) && slot.startsInFlight < MAX_STARTS_IN_FLIGHT && slot.belowLimit(step)) {
                double score = score(step, need, slot, perWorker.getOrDefault(slot, 0));
                if (score > bestScore) {
                    best = slot;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /**
     * Keeps a worker free for a task that lasts, or that has waited for a while, so that smaller ones do not always take
     * the room first.
     */
    private void reserveIfStarving(StepState step, Demand need, Moment now) {
        boolean starving = step.spec.longRunning() || now.steadyMillis() - step.readyMillis > STARVING_MILLIS;
        if (!starving || step.spec.fills() || reserved.size() >= MAX_RESERVED) {
            return;
        }
        WorkerSlot best = null;
        for (WorkerSlot slot : state.slots.values()) {
            boolean suits = slot.suits(step.spec, now.steadyMillis())
                    && !reserved.contains(slot)
                    && slot.belowLimit(step)
                    && need.fitsIn(slot.report.capacity());
            if (suits && (best == null || slot.free().memoryMb() > best.free().memoryMb())) {
                best = slot;
            }
        }
        if (best != null) {
            reserved.add(best);
        }
        explainWaiting(step, need, best, now);
    }

    private void explainWaiting(StepState step, Demand need, WorkerSlot kept, Moment now) {
        if (now.steadyMillis() - step.explainedMillis < EXPLAIN_MILLIS) {
            return;
        }
        step.explainedMillis = now.steadyMillis();
        int open = 0;
        int below = 0;
        int room = 0;
        for (WorkerSlot slot : state.slots.values()) {
            open += slot.acceptsWork(now.steadyMillis()) ? 1 : 0;
            below += slot.acceptsWork(now.steadyMillis()) && slot.belowLimit(step) ? 1 : 0;
            room += slot.acceptsWork(now.steadyMillis()) && need.fitsIn(slot.free()) ? 1 : 0;
        }
        state.actions.decided(Decision.of("step-waiting")
                .with("job", step.occurrence.job.spec.id())
                .with("step", step.name())
                .with("workers", state.slots.size())
                .with("open", open)
                .with("belowLimit", below)
                .with("withRoom", room)
                .with("kept", kept == null ? "" : kept.id));
    }

    private boolean mayRun(StepState step, Demand need, WorkerSlot slot, Moment now) {
        return slot.suits(step.spec, now.steadyMillis())
                && slot.clockKnown()
                && !reserved.contains(slot)
                && need.fitsIn(slot.free())
                && advice.allows(step, slot, now);
    }

    private static double score(StepState step, Demand need, WorkerSlot slot, int placed) {
        Demand free = slot.free().minus(need);
        Demand capacity = slot.report.capacity();
        double cpuLeft = (double) free.cpuMillis() / Math.max(1, capacity.cpuMillis());
        double memoryLeft = (double) free.memoryMb() / Math.max(1, capacity.memoryMb());
        // Full workers first, so that others become empty and can be given to other pools.
        double score = -Math.min(cpuLeft, memoryLeft) - slot.blame;
        if (!step.spec.preferredRack().isEmpty() && !step.spec.preferredRack().equals(slot.report.rack())) {
            score -= 1;
        }
        return step.spec.longRunning() ? score - LASTING_SPREAD * placed : score;
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
