package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.team.RecentUse;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamShares;

/**
 * Decides which steps start after those of other teams, because their team is over its share of the pool.
 *
 * <p>Answers the load of a team that submits 4 to 8 times its usual for some seconds: by latest start alone its steps,
 * which have waited longest, would go before those of all other teams.
 */
final class TeamOrder {
    /**
     * The part of its share by which a team may exceed it. A single job of a small team exceeds its share; without a
     * tolerance so many steps were put off that a tenth more of the work was late than without shares.
     */
    private static final double SHARE_TOLERANCE = 0.5;
    /** The largest tolerance, as a part of the pool: some jobs of a team of mean size. */
    private static final double MAX_TOLERANCE = 0.05;
    /** The time over which a team's use has to exceed its share, so that a job that has just begun is not put off. */
    private static final double MEAN_USE_MILLIS = 2_000;

    private final PoolState state;
    private final RecentUse recentUse = new RecentUse(MEAN_USE_MILLIS);

    TeamOrder(PoolState state) {
        this.state = state;
    }

    /**
     * Returns the steps of teams that are over their shares, if the steps started in the given order. A step counts as
     * within the share if the team is not over it before the step, so that large steps get their turn.
     *
     * @param steps  the steps with startable tasks that can finish in time, in the order without teams
     */
    Set<JobStepState> stepsOverShare(List<JobStepState> steps, Moment now) {
        if (state.teams.all().isEmpty()) {
            return Set.of();
        }
        TeamUsage usage = TeamUsage.of(state);
        steps.forEach(usage::addWaiting);
        TeamShares shares = usage.shares();
        recordUse(usage, shares, now);
        Map<String, ResourceAmount> used = new HashMap<>();
        Set<JobStepState> over = new HashSet<>();
        for (JobStepState step : steps) {
            Optional<TeamConfig> team = usage.teamOf(step);
            if (team.isPresent()) {
                String name = team.get().name();
                ResourceAmount before = used.getOrDefault(name, usage.use(name));
                if (isOver(name, shares, before)) {
                    over.add(step);
                }
                used.put(name, before.plus(step.waitingDemand()));
            }
        }
        return over;
    }

    private boolean isOver(String team, TeamShares shares, ResourceAmount use) {
        double share = shares.share(team);
        double limit = share + Math.min(MAX_TOLERANCE, SHARE_TOLERANCE * share);
        return shares.isLimited(team) && recentUse.mean(team) >= limit && shares.dominantPart(use) >= limit;
    }

    private void recordUse(TeamUsage usage, TeamShares shares, Moment now) {
        Map<String, Double> parts = new HashMap<>();
        for (TeamConfig team : state.teams.all()) {
            parts.put(team.name(), shares.dominantPart(usage.use(team.name())));
        }
        recentUse.record(parts, now.steadyMillis());
    }
}
