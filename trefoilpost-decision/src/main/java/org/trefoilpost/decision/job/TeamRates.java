package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.job.team.SubmissionRate;
import org.trefoilpost.decision.job.team.TeamConfig;

/**
 * Decides which submitted jobs of a pool are within the rate of their team.
 *
 * <p>Answers the load of a team that submits 4 to 8 times its usual for some seconds: what exceeds its rate is refused
 * at once instead of filling the pool until other teams' jobs are refused.
 */
final class TeamRates {
    private final PoolState state;
    private final Map<String, SubmissionRate> rates = new HashMap<>();

    TeamRates(PoolState state) {
        this.state = state;
    }

    /**
     * Counts a submission, and returns whether it is within the rate; true if the job belongs to no team of the
     * configuration.
     *
     * @param resubmission  true if the job was refused before
     */
    boolean tryTake(JobSpec job, boolean resubmission, Moment now) {
        Optional<SubmissionRate> rate = rateOf(job, now);
        return rate.isEmpty() || rate.get().tryTake(resubmission, now.steadyMillis());
    }

    /**
     * Returns the time in milliseconds until a refused job may be within the rate, 0 if it belongs to no team.
     */
    long retryAfterMillis(JobSpec job, Moment now) {
        return rateOf(job, now)
                .map(rate -> rate.retryAfterMillis(now.steadyMillis()))
                .orElse(0L);
    }

    private Optional<SubmissionRate> rateOf(JobSpec job, Moment now) {
        rates.keySet().removeIf(name -> state.teams.team(name).isEmpty());
        Optional<TeamConfig> team = job.team().flatMap(state.teams::team);
        if (team.isEmpty()) {
            return Optional.empty();
        }
        double weight = team.get().weight();
        SubmissionRate rate =
                rates.computeIfAbsent(team.get().name(), name -> new SubmissionRate(weight, now.steadyMillis()));
        rate.setJobsPerSecond(weight, now.steadyMillis());
        return Optional.of(rate);
    }
}
