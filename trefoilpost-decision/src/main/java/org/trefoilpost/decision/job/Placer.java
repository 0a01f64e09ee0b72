package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses which tasks start next, and on which workers.
 *
 * <p>Steps whose job can still meet its objective go first, then late ones, then best-effort ones; within each group by
 * the priority of their queue, then by their latest start. Of steps that can meet their objective, those of a team over
 * its share go after the others of the same priority.
 */
final class Placer {
    /** The maximum number of starts that a worker has yet to answer. */
    static final int MAX_STARTS_IN_FLIGHT = 8;

    private static final long ROUND_INTERVAL_MILLIS = 100;

    /** Score penalty of a worker that has to be asked first, so that it is not preferred to one like it. */
    private static final double OLD_ANSWER_PENALTY = 0.01;
    /** Score penalty for each task of the same long-running step just placed on a worker, in shares of a worker. */
    private static final double SAME_STEP_PENALTY = 0.3;

    private final PoolState state;
    private final OrderSender orderSender;
    private final StartDeadlines startDeadlines;
    private final PlacementAdvice advice;
    private final TeamOrder teamOrder;
    private final IsolatedPlacer isolatedPlacer;
    private final WorkerInquiries inquiries;
    private final ReservedWorkers reservedWorkers;
    private long lastRoundMillis;

    Placer(PoolState state, OrderSender orderSender, StartDeadlines startDeadlines, PlacementAdvice advice) {
        this.state = state;
        this.orderSender = orderSender;
        this.startDeadlines = startDeadlines;
        this.advice = advice;
        this.teamOrder = new TeamOrder(state);
        this.isolatedPlacer = new IsolatedPlacer(state, new IsolatedStarter());
        this.inquiries = new WorkerInquiries(orderSender);
        this.reservedWorkers = new ReservedWorkers(state, advice);
    }

    /**
     * Starts every task that fits, if something has changed or {@link #ROUND_INTERVAL_MILLIS} have passed.
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
        sort(candidates, now);
        List<ResourceAmount> unplacedDemands = new ArrayList<>();
        reservedWorkers.clear();
        state.teamGate.beginRound();
        inquiries.beginRound();
        isolatedPlacer.place(
                isolatedTasks(candidates, now), othersDemand(candidates, now), reservedWorkers.workers(), now);
        for (Candidate candidate : candidates) {
            placeStep(candidate.step, unplacedDemands, now);
        }
        advice.requestNext(now);
    }

    private List<JobTaskState> isolatedTasks(List<Candidate> candidates, Moment now) {
        List<JobTaskState> isolated = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (!candidate.step.spec.gang() && advice.isReady(candidate.step, reservedWorkers.workers(), now)) {
                for (JobTaskState task : candidate.step.tasks) {
                    if (IsolatedPlacer.awaits(task, now.steadyMillis()) && state.mayStart(task, now.steadyMillis())) {
                        isolated.add(task);
                    }
                }
            }
        }
        return isolated;
    }

    /**
     * Returns the resources that the tasks which may start on any worker ask for.
     */
    private ResourceAmount othersDemand(List<Candidate> candidates, Moment now) {
        ResourceAmount demand = ResourceAmount.NONE;
        for (Candidate candidate : candidates) {
            long startable = countStartable(candidate.step, now.steadyMillis());
            demand = demand.plus(candidate.step.spec.reservedDemand().times(startable));
        }
        return demand;
    }

    private void sort(List<Candidate> candidates, Moment now) {
        Comparator<Candidate> byPriority = Comparator.comparingInt(Candidate::rank)
                .thenComparingInt(candidate -> candidate.step.occurrence.job.queue.priority());
        candidates.sort(byPriority.thenComparingLong(Candidate::latestStartMillis));
        List<JobStepState> inTime = candidates.stream()
                .filter(candidate -> candidate.rank == Candidate.IN_TIME)
                .map(Candidate::step)
                .toList();
        Set<JobStepState> overShare = teamOrder.stepsOverShare(inTime, now);
        if (!overShare.isEmpty()) {
            candidates.sort(byPriority
                    .thenComparing(candidate -> overShare.contains(candidate.step))
                    .thenComparingLong(Candidate::latestStartMillis));
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
        long latestStartMillis = startDeadlines.latestStartMillis(step, now);
        boolean isLate = latestStartMillis + startDeadlines.graceMillis(step) < now.steadyMillis();
        int rank = step.spec.bestEffort() ? Candidate.BEST_EFFORT : isLate ? Candidate.LATE : Candidate.IN_TIME;
        return new Candidate(step, rank, latestStartMillis);
    }

    private boolean hasStartableTask(JobStepState step, long nowMillis) {
        if (step.readyMillis == JobStepState.NOT_READY || step.ended()) {
            return false;
        }
        for (JobTaskState task : step.tasks) {
            if (state.mayStart(task, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    private long countStartable(JobStepState step, long nowMillis) {
        return Arrays.stream(step.tasks)
                .filter(task -> isStartable(task, nowMillis))
                .count();
    }

    /**
     * Returns whether a task may start on any worker; others that may start are kept apart.
     */
    private boolean isStartable(JobTaskState task, long nowMillis) {
        return state.mayStart(task, nowMillis) && !IsolatedPlacer.awaits(task, nowMillis);
    }

    private void placeStep(JobStepState step, List<ResourceAmount> unplacedDemands, Moment now) {
        if (!advice.isReady(step, reservedWorkers.workers(), now)) {
            if (step.advice.allowsAny() && hasStartableTask(step, now.steadyMillis())) {
                reservedWorkers.reserveFor(step, now);
            }
            return;
        }
        if (step.spec.gang()) {
            placeGang(step, now);
            return;
        }
        ResourceAmount demand = step.spec.reservedDemand();
        boolean unconstrained = isUnconstrained(step);
        if (unconstrained && unplacedDemands.stream().anyMatch(unplaced -> unplaced.fitsIn(demand))) {
            return;
        }
        long startable = state.teamGate.isLimited(step) ? countStartable(step, now.steadyMillis()) : 1;
        if (unconstrained && state.teamGate.refusesAsBefore(step, startable)) {
            return;
        }
        Map<PoolWorker, Integer> perWorker = new HashMap<>();
        boolean answerAwaited = false;
        for (JobTaskState task : step.tasks) {
            if (isStartable(task, now.steadyMillis())) {
                PoolWorker worker = bestWorker(step, demand, perWorker, now);
                if (worker != null && !worker.hasFreshAnswer(now.steadyMillis())) {
                    askWorkers(step, demand, perWorker, now);
                    answerAwaited = true;
                    continue;
                }
                if (worker == null) {
                    if (!answerAwaited) {
                        recordUnplaced(step, unplacedDemands, now);
                    }
                    return;
                }
                if (!state.teamGate.admitTask(step, startable--, now)) {
                    return;
                }
                orderSender.start(task, task.lastRunNumber + 1, worker, now);
                perWorker.merge(worker, 1, Integer::sum);
            }
        }
    }

    private static boolean isUnconstrained(JobStepState step) {
        return step.spec.requiredLabel().isEmpty() && step.spec.maxPerWorker() == 0;
    }

    private void recordUnplaced(JobStepState step, List<ResourceAmount> unplacedDemands, Moment now) {
        ResourceAmount demand = step.spec.reservedDemand();
        reservedWorkers.reserveFor(step, now);
        if (isUnconstrained(step) && step.occurrence.job.queue.advice().isEmpty()) {
            unplacedDemands.add(demand);
        }
    }

    /**
     * Returns the worker that suits a task best, null if there is none. It may have to be asked first.
     */
    private PoolWorker bestWorker(
            JobStepState step, ResourceAmount demand, Map<PoolWorker, Integer> perWorker, Moment now) {
        PoolWorker bestWorker = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (PoolWorker worker : state.workers.values()) {
            boolean answered = worker.hasFreshAnswer(now.steadyMillis());
            if (mayStartOn(step, demand, worker, now)
                    && (answered || inquiries.mayAwait(step, worker, now.steadyMillis()))) {
                double score = score(step, demand, worker, perWorker.getOrDefault(worker, 0))
                        - (answered ? 0 : OLD_ANSWER_PENALTY);
                if (score > bestScore) {
                    bestWorker = worker;
                    bestScore = score;
                }
            }
        }
        return bestWorker;
    }

    /**
     * Asks workers whose last answer is old and on which a task could start, the one that suits it best first.
     */
    private void askWorkers(JobStepState step, ResourceAmount demand, Map<PoolWorker, Integer> perWorker, Moment now) {
        List<PoolWorker> candidates = state.workers.values().stream()
                .filter(worker -> !worker.hasFreshAnswer(now.steadyMillis()) && mayStartOn(step, demand, worker, now))
                .sorted(Comparator.comparingDouble(
                                (PoolWorker worker) -> score(step, demand, worker, perWorker.getOrDefault(worker, 0)))
                        .reversed())
                .toList();
        inquiries.awaitRoom(step, candidates, now.steadyMillis());
    }

    private boolean mayStartOn(JobStepState step, ResourceAmount demand, PoolWorker worker, Moment now) {
        return mayRun(step, demand, worker, now)
                && worker.startsInFlight < MAX_STARTS_IN_FLIGHT
                && worker.isBelowTaskLimit(step);
    }

    private boolean mayRun(JobStepState step, ResourceAmount demand, PoolWorker worker, Moment now) {
        return maySuit(step, demand, worker, now) && !worker.isOnProbation();
    }

    /**
     * Returns whether a worker may run one more task of a step, though it may be on probation.
     */
    private boolean maySuit(JobStepState step, ResourceAmount demand, PoolWorker worker, Moment now) {
        return worker.suits(step.spec, now.steadyMillis())
                && worker.lease.isClockKnown()
                && !reservedWorkers.contains(worker)
                && demand.fitsIn(worker.freeResources())
                && advice.allows(step, worker, now.steadyMillis());
    }

    private static double score(JobStepState step, ResourceAmount demand, PoolWorker worker, int placedTasks) {
        ResourceAmount free = worker.freeResources().minus(demand);
        ResourceAmount capacity = worker.registration.capacity();
        double freeCpuShare = (double) free.cpuMillis() / Math.max(1, capacity.cpuMillis());
        double freeMemoryShare = (double) free.memoryMb() / Math.max(1, capacity.memoryMb());
        // Prefers the fullest workers, so that others become empty and can be moved to other pools.
        double score = -Math.min(freeCpuShare, freeMemoryShare) - worker.blame;
        if (!step.spec.preferredRack().isEmpty() && !step.spec.preferredRack().equals(worker.registration.rack())) {
            score -= 1;
        }
        return step.spec.longRunning() ? score - SAME_STEP_PENALTY * placedTasks : score;
    }

    private void placeGang(JobStepState step, Moment now) {
        int runNumber = 1;
        for (JobTaskState task : step.tasks) {
            if (!state.mayStart(task, now.steadyMillis())) {
                return;
            }
            runNumber = Math.max(runNumber, task.lastRunNumber + 1);
        }
        List<PoolWorker> workers = new ArrayList<>(state.workers.values());
        workers.removeIf(worker -> !mayRun(step, step.spec.reservedDemand(), worker, now));
        workers.removeIf(worker -> !isolatedPlacer.mayRunGang(step, worker, now.steadyMillis()));
        workers.removeIf(worker -> WorkerInquiries.isOverdue(worker, now.steadyMillis()));
        List<PoolWorker> chosen = GangPlacement.chooseWorkers(step, workers);
        List<PoolWorker> toAsk = new ArrayList<>(chosen);
        toAsk.removeIf(worker -> worker.hasFreshAnswer(now.steadyMillis()));
        inquiries.ask(toAsk, now.steadyMillis());
        if (chosen.isEmpty()) {
            reservedWorkers.reserveFor(step, now);
            return;
        }
        if (!toAsk.isEmpty()) {
            return;
        }
        if (!state.teamGate.admitGang(step, now)) {
            return;
        }
        for (int i = 0; i < chosen.size(); i++) {
            Run run = orderSender.start(step.tasks[i], runNumber, chosen.get(i), now);
            run.probationMillis = run.task.isolation().probationMillis();
        }
    }

    /**
     * Starts tasks that are kept apart from others.
     */
    private final class IsolatedStarter implements IsolatedPlacer.Starter {
        @Override
        public List<PoolWorker> workersFor(JobTaskState task, Moment now) {
            ResourceAmount demand = task.step.spec.reservedDemand();
            return state.workers.values().stream()
                    .filter(worker -> maySuit(task.step, demand, worker, now)
                            && !WorkerInquiries.isOverdue(worker, now.steadyMillis())
                            && worker.startsInFlight < MAX_STARTS_IN_FLIGHT
                            && worker.isBelowTaskLimit(task.step))
                    .toList();
        }

        @Override
        public boolean start(JobTaskState task, PoolWorker worker, Moment now) {
            if (!state.teamGate.admitTask(task.step, 1, now)) {
                return false;
            }
            Run run = orderSender.start(task, task.lastRunNumber + 1, worker, now);
            run.probationMillis = task.isolation().probationMillis();
            return true;
        }
    }

    /**
     * A step with tasks that can start; a lower rank goes first.
     */
    private record Candidate(JobStepState step, int rank, long latestStartMillis) {
        static final int IN_TIME = 0;
        static final int LATE = 1;
        static final int BEST_EFFORT = 2;
    }
}
