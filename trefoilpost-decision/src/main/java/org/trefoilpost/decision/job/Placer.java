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
    private static final long ROUND_INTERVAL_MILLIS = 100;
    /** Time in milliseconds after which a step that does not fit gets a worker of its own. */
    private static final long STARVATION_MILLIS = 700;

    private static final long WAITING_LOG_INTERVAL_MILLIS = 1_000;
    /** The most workers that are kept free for steps that do not fit. */
    private static final int MAX_RESERVED_WORKERS = 2;
    /** What another task of the same step on a worker counts against it, in shares of a worker. */
    private static final double SAME_STEP_PENALTY = 0.3;

    private final PoolState state;
    private final OrderSender orderSender;
    private final StartDeadlines startDeadlines;
    private final PlacementAdvice advice;
    private final Set<PoolWorker> reservedWorkers = new HashSet<>();
    private long lastRoundMillis;

    Placer(PoolState state, OrderSender orders, StartDeadlines objectives, PlacementAdvice advice) {
        this.state = state;
        this.orderSender = orders;
        this.startDeadlines = objectives;
        this.advice = advice;
    }

    /**
     * Starts every task for which there is room, if something has changed or a while has passed.
     */
    void placeIfDue(Moment now) {
        if (state.placementDue || now.steadyMillis() - lastRoundMillis >= ROUND_INTERVAL_MILLIS) {
            state.placementDue = false;
            lastRoundMillis = now.steadyMillis();
            place(now);
        }
    }

    private void place(Moment now) {
        List<Candidate> candidates = candidates(now);
        candidates.sort(Comparator.comparingInt(Candidate::rank)
                .thenComparingInt(candidate -> candidate.step.occurrence.job.queue.priority())
                .thenComparingLong(Candidate::latestStartMillis));
        List<ResourceAmount> unplaced = new ArrayList<>();
        reservedWorkers.clear();
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
            for (OccurrenceState occurrence : job.openOccurrences()) {
                for (JobStepState step : occurrence.steps) {
                    if (hasStartableTask(step, now.steadyMillis())) {
                        candidates.add(candidate(step, now));
                    }
                }
            }
        }
        return candidates;
    }

    private Candidate candidate(JobStepState step, Moment now) {
        long latest = startDeadlines.latestStartMillis(step, now);
        boolean late = latest + startDeadlines.graceMillis(step) < now.steadyMillis();
        int rank = step.spec.bestEffort() ? Candidate.BEST_EFFORT : late ? Candidate.LATE : Candidate.IN_TIME;
        return new Candidate(step, rank, latest);
    }

    private boolean hasStartableTask(JobStepState step, long nowMillis) {
        if (step.readyMillis == JobStepState.NOT_READY || step.ended()) {
            return false;
        }
        for (JobTaskState task : step.tasks) {
            if (isStartable(task, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean isStartable(JobTaskState task, long nowMillis) {
        boolean settled = !task.mayHaveUnseenRun || !state.mayHaveUnseenRuns(nowMillis);
        return settled && task.isStartable(nowMillis);
    }

    private void placeStep(JobStepState step, List<ResourceAmount> unplaced, Moment now) {
        if (!advice.isReady(step, now)) {
            return;
        }
        if (step.spec.gang()) {
            placeGang(step, now);
            return;
        }
        ResourceAmount need = step.spec.reservedDemand();
        boolean plain = step.spec.requiredLabel().isEmpty() && step.spec.maxPerWorker() == 0;
        if (plain && unplaced.stream().anyMatch(hopeless -> hopeless.fitsIn(need))) {
            return;
        }
        Map<PoolWorker, Integer> perWorker = new HashMap<>();
        for (JobTaskState task : step.tasks) {
            if (isStartable(task, now.steadyMillis())) {
                PoolWorker slot = bestWorker(step, need, perWorker, now);
                if (slot == null) {
                    reserveIfStarving(step, need, now);
                    if (plain && step.tickets.isEmpty()) {
                        unplaced.add(need);
                    }
                    return;
                }
                orderSender.start(task, task.lastRunNumber + 1, slot, now);
                perWorker.merge(slot, 1, Integer::sum);
            }
        }
    }

    private PoolWorker bestWorker(
            JobStepState step, ResourceAmount need, Map<PoolWorker, Integer> perWorker, Moment now) {
        PoolWorker best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (PoolWorker slot : state.workers.values()) {
            if (mayRun(step, need, slot, now)
                    && slot.startsInFlight < MAX_STARTS_IN_FLIGHT
                    && slot.isBelowTaskLimit(step)) {
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
    private void reserveIfStarving(JobStepState step, ResourceAmount need, Moment now) {
        boolean starving = step.spec.longRunning() || now.steadyMillis() - step.readyMillis > STARVATION_MILLIS;
        if (!starving || step.spec.bestEffort() || reservedWorkers.size() >= MAX_RESERVED_WORKERS) {
            return;
        }
        PoolWorker best = null;
        for (PoolWorker slot : state.workers.values()) {
            boolean suits = slot.suits(step.spec, now.steadyMillis())
                    && !reservedWorkers.contains(slot)
                    && slot.isBelowTaskLimit(step)
                    && need.fitsIn(slot.registration.capacity());
            if (suits
                    && (best == null
                            || slot.freeResources().memoryMb()
                                    > best.freeResources().memoryMb())) {
                best = slot;
            }
        }
        if (best != null) {
            reservedWorkers.add(best);
        }
        logWaiting(step, need, best, now);
    }

    private void logWaiting(JobStepState step, ResourceAmount need, PoolWorker kept, Moment now) {
        if (now.steadyMillis() - step.waitingLoggedMillis < WAITING_LOG_INTERVAL_MILLIS) {
            return;
        }
        step.waitingLoggedMillis = now.steadyMillis();
        int open = 0;
        int below = 0;
        int room = 0;
        for (PoolWorker slot : state.workers.values()) {
            open += slot.acceptsWork(now.steadyMillis()) ? 1 : 0;
            below += slot.acceptsWork(now.steadyMillis()) && slot.isBelowTaskLimit(step) ? 1 : 0;
            room += slot.acceptsWork(now.steadyMillis()) && need.fitsIn(slot.freeResources()) ? 1 : 0;
        }
        state.actions.logDecision(Decision.of("step-waiting")
                .with("job", step.occurrence.job.spec.id())
                .with("step", step.name())
                .with("workers", state.workers.size())
                .with("open", open)
                .with("belowLimit", below)
                .with("withRoom", room)
                .with("kept", kept == null ? "" : kept.id));
    }

    private boolean mayRun(JobStepState step, ResourceAmount need, PoolWorker slot, Moment now) {
        return slot.suits(step.spec, now.steadyMillis())
                && slot.isClockKnown()
                && !reservedWorkers.contains(slot)
                && need.fitsIn(slot.freeResources())
                && advice.allows(step, slot, now);
    }

    private static double score(JobStepState step, ResourceAmount need, PoolWorker slot, int placed) {
        ResourceAmount free = slot.freeResources().minus(need);
        ResourceAmount capacity = slot.registration.capacity();
        double cpuLeft = (double) free.cpuMillis() / Math.max(1, capacity.cpuMillis());
        double memoryLeft = (double) free.memoryMb() / Math.max(1, capacity.memoryMb());
        // Full workers first, so that others become empty and can be given to other pools.
        double score = -Math.min(cpuLeft, memoryLeft) - slot.blame;
        if (!step.spec.preferredRack().isEmpty() && !step.spec.preferredRack().equals(slot.registration.rack())) {
            score -= 1;
        }
        return step.spec.longRunning() ? score - SAME_STEP_PENALTY * placed : score;
    }

    private void placeGang(JobStepState step, Moment now) {
        int number = 1;
        for (JobTaskState task : step.tasks) {
            if (!isStartable(task, now.steadyMillis())) {
                return;
            }
            number = Math.max(number, task.lastRunNumber + 1);
        }
        List<PoolWorker> slots = new ArrayList<>(state.workers.values());
        slots.removeIf(slot -> !mayRun(step, step.spec.reservedDemand(), slot, now));
        List<PoolWorker> chosen = GangPlacement.chooseWorkers(step, slots);
        for (int i = 0; i < chosen.size(); i++) {
            orderSender.start(step.tasks[i], number, chosen.get(i), now);
        }
    }

    /**
     * A step with tasks that can start.
     */
    private record Candidate(JobStepState step, int rank, long latestStartMillis) {
        static final int IN_TIME = 0;
        static final int LATE = 1;
        static final int BEST_EFFORT = 2;
    }
}
