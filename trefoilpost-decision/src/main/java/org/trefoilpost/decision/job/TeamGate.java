package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.job.team.PoolTeamLimits;
import org.trefoilpost.decision.job.team.PoolUse;
import org.trefoilpost.decision.job.team.TeamUse;

/**
 * Checks the starts of a pool against the limits of the jobs' teams, and determines what the teams use in the pool. A run
 * counts with all that its task asks for, also if its step reserves no processor share.
 */
final class TeamGate {
    /** A gate that lets every start pass. */
    static final TeamGate OPEN = new TeamGate(null, null);

    /** Time after the registry is complete in which a worker that registers again may have runs of an earlier owner. */
    private static final long LATE_MILLIS = 5_000;

    private final PoolState state;
    /** Null if no limits are enforced. */
    private final PoolTeamLimits limits;

    TeamGate(PoolState state, PoolTeamLimits limits) {
        this.state = state;
        this.limits = limits;
    }

    private boolean isActive() {
        return limits != null && limits.isActive();
    }

    /**
     * Updates what the teams use.
     */
    void observe(Moment now) {
        if (isActive()) {
            limits.observe(use(now.steadyMillis()), now.steadyMillis());
        }
    }

    void beginRound() {
        if (isActive()) {
            limits.beginRound();
        }
    }

    /**
     * Makes the writes of grants that are due.
     */
    void decide(Moment now) {
        if (isActive()) {
            limits.decide(now.steadyMillis());
        }
    }

    /**
     * Decides whether a task of a step may start, and counts its use if so. The caller then starts it.
     *
     * @param count  the number of tasks of the step that could start
     */
    boolean admitTask(JobStepState step, long count, Moment now) {
        ResourceAmount demand = step.spec.demand();
        return admit(step, demand, demand, count, now);
    }

    /**
     * Decides whether a gang may start, and counts its use if so. The caller then starts all its tasks.
     */
    boolean admitGang(JobStepState step, Moment now) {
        ResourceAmount demand = step.spec.demand();
        return admit(step, demand.times(step.tasks.length), demand, 1, now);
    }

    /**
     * Returns whether the team of a step's job has a limit.
     */
    boolean isLimited(JobStepState step) {
        Optional<String> team = step.occurrence.job.spec.team();
        return isActive() && team.isPresent() && limits.isLimited(team.get());
    }

    /**
     * Returns whether no task of a step can start, as the team's limit has refused a task that needs no more in this round.
     */
    boolean refusesAsBefore(JobStepState step, long count) {
        return isLimited(step) && limits.refusesAsBefore(team(step), step.spec.demand(), Math.max(1, count));
    }

    /**
     * Returns whether the team's limit leaves room for a task of a step.
     */
    boolean hasRoom(JobStepState step) {
        return !isLimited(step) || limits.hasRoom(team(step), step.spec.demand());
    }

    private static String team(JobStepState step) {
        return step.occurrence.job.spec.team().orElseThrow();
    }

    private boolean admit(JobStepState step, ResourceAmount unit, ResourceAmount member, long count, Moment now) {
        return !isLimited(step) || limits.tryStart(team(step), unit, member, Math.max(1, count), now.steadyMillis());
    }

    private PoolUse use(long nowMillis) {
        Map<String, TeamUse> teams = new HashMap<>();
        ResourceAmount free = ResourceAmount.NONE;
        ResourceAmount unanswered =
                nowMillis < state.registryCompleteMillis ? PoolUse.UNKNOWN_CAPACITY : ResourceAmount.NONE;
        for (PoolWorker worker : state.workers.values()) {
            for (Run run : worker.runs.values()) {
                run.task
                        .step
                        .occurrence
                        .job
                        .spec
                        .team()
                        .ifPresent(team -> teams.merge(
                                team, TeamUse.NONE.plus(run.task.step.spec.demand(), run.adopted), TeamGate::sum));
            }
            free = worker.acceptsWork(nowMillis) ? free.plus(worker.freeResources()) : free;
            if (mayHaveUnknownRuns(worker, nowMillis)) {
                unanswered = unanswered.plus(capacity(worker));
            }
        }
        return new PoolUse(teams, free, unanswered);
    }

    private static TeamUse sum(TeamUse a, TeamUse b) {
        return new TeamUse(a.started().plus(b.started()), a.adopted().plus(b.adopted()));
    }

    /**
     * Returns whether a worker may have runs of an earlier owner that it has not reported, or whose team is not known.
     */
    private boolean mayHaveUnknownRuns(PoolWorker worker, long nowMillis) {
        boolean registeredLate =
                !worker.fenced && !worker.ended && nowMillis < state.registryCompleteMillis + LATE_MILLIS;
        return state.unresolvedWorkers.contains(worker) || registeredLate || !worker.allSizesKnown();
    }

    /**
     * Returns the capacity of a worker, which is not known if only stored runs name the worker.
     */
    private static ResourceAmount capacity(PoolWorker worker) {
        ResourceAmount capacity = worker.registration.capacity();
        return capacity.equals(ResourceAmount.NONE) ? PoolUse.UNKNOWN_CAPACITY : capacity;
    }
}
