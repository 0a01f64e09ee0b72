package org.trefoilpost.decision.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamShares;

/**
 * Decides whether a submitted job can be accepted without missing its objective or that of work accepted before.
 */
final class Admission {
    private static final long MIN_RETRY_AFTER_MILLIS = 500;
    private static final long MAX_RETRY_AFTER_MILLIS = 8_000;
    /** The longest backlog with which a job that has already missed its objective is still accepted. */
    private static final long MAX_LATE_JOB_WAIT_MILLIS = 1_000;

    /**
     * The longest time that waiting tasks take to be placed with which a job beyond the rate of its team still starts at
     * once. With 0, jobs were refused for the few milliseconds between acceptance and placement, and 2 % of the capacity
     * stayed idle in a pool with 0.6 to 0.8 of its load.
     */
    private static final long MAX_OVER_RATE_WAIT_MILLIS = 200;

    private final PoolState state;
    private final StartDeadlines startDeadlines;
    private final AdviceBacklog adviceBacklog;
    private final Backlog backlog;
    private final TeamRates teamRates;

    Admission(PoolState state, RunStatistics runStatistics, StartDeadlines startDeadlines, PlacementAdvice advice) {
        this.state = state;
        this.adviceBacklog = new AdviceBacklog(state, startDeadlines, advice);
        this.startDeadlines = startDeadlines;
        this.backlog = new Backlog(state, runStatistics, startDeadlines);
        this.teamRates = new TeamRates(state);
    }

    /**
     * Returns whether a task of each step fits the total capacity of a known worker; true while no worker is known.
     */
    boolean fitsAnyWorker(JobSpec spec) {
        return state.workers.isEmpty() || fitsAnyWorker(spec, worker -> worker.registration.capacity());
    }

    /**
     * Returns whether a task of each step fits the largest capacity that a known worker has had, which it may have again.
     */
    boolean mayFitAgain(JobSpec spec) {
        return fitsAnyWorker(spec, worker -> worker.largestCapacity);
    }

    private boolean fitsAnyWorker(JobSpec spec, Function<PoolWorker, ResourceAmount> capacity) {
        for (StepSpec step : spec.steps()) {
            boolean fits = state.workers.values().stream()
                    .anyMatch(worker -> step.reservedDemand().fitsIn(capacity.apply(worker))
                            && step.allowsLabels(worker.registration.labels()));
            if (!fits) {
                return false;
            }
        }
        return true;
    }

    /**
     * Counts a submission, and returns whether it is within the rate of its team.
     *
     * @param resubmission  true if the job was refused before
     */
    boolean isWithinRate(JobSpec job, boolean resubmission, Moment now) {
        return teamRates.tryTake(job, resubmission, now);
    }

    /**
     * Returns the refusal of a job, empty if the job can be accepted now.
     *
     * @param withinRate  false if the job exceeds the rate of its team, and is accepted only if it starts at once
     */
    Optional<SubmitResult> refusal(JobState job, boolean withinRate, Moment now) {
        if (!withinRate) {
            return startsAtOnce(job, now)
                    ? Optional.empty()
                    : Optional.of(refused(overRateMillis(job, now), "team-over-rate", job, now));
        }
        OptionalLong overloadMillis = overloadMillis(job, now);
        return overloadMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(refused(overloadMillis.getAsLong(), "overload", job, now));
    }

    /**
     * Returns whether a job starts at once although it exceeds the rate of its team: there is room for all that waits,
     * or so little waits that the job is placed with the next few rounds and meets its objective behind all other work.
     */
    private boolean startsAtOnce(JobState job, Moment now) {
        return backlog.hasRoomFor(job, now)
                || backlog.waitingMillis(now) <= MAX_OVER_RATE_WAIT_MILLIS && backlog.shortageMillis(job, now) <= 0;
    }

    private SubmitResult refused(long millis, String reason, JobState job, Moment now) {
        long retryAfterMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, millis));
        return SubmitResult.refused(retryAfterMillis, reason, refusalInputs(job, now));
    }

    private Map<String, Object> refusalInputs(JobState job, Moment now) {
        Map<String, Object> inputs = expectation(job, objectiveMillis(job), now);
        teamOf(job).ifPresent(team -> {
            TeamUsage usage = backlog.teamUsage(now);
            TeamShares shares = usage.sharesWith(job.spec);
            inputs.put("team", team.name());
            inputs.put("rate", team.weight());
            inputs.put("share", shares.share(team.name()));
            inputs.put("use", shares.dominantPart(usage.use(team.name())));
        });
        return inputs;
    }

    private Optional<TeamConfig> teamOf(JobState job) {
        return job.spec.team().flatMap(state.teams::team);
    }

    /**
     * Returns the time until the team's rate or the pool has room, whichever is earlier.
     */
    private long overRateMillis(JobState job, Moment now) {
        return Math.min(teamRates.retryAfterMillis(job.spec, now), (long) Math.ceil(backlog.waitMillis(now)));
    }

    private OptionalLong overloadMillis(JobState job, Moment now) {
        if (!job.spec.onDemand()) {
            return OptionalLong.empty();
        }
        long spareMillis = startDeadlines.latestStartsMillis(job)[0] - now.steadyMillis();
        boolean late = spareMillis < 0;
        long adviceShortMillis = job.queue.advice().isEmpty() ? 0 : adviceShortMillis(job, spareMillis, now);
        if (adviceShortMillis > 0) {
            return OptionalLong.of(adviceShortMillis);
        }
        long shortMillis = late
                ? (long) backlog.waitMillis(now) - MAX_LATE_JOB_WAIT_MILLIS
                : (long) backlog.shortageMillis(job, now);
        boolean accepted =
                shortMillis <= 0 || backlog.startsImmediately(job, now) || !late && fitsShareOfTeam(job, now);
        return accepted ? OptionalLong.empty() : OptionalLong.of(shortMillis);
    }

    /**
     * Returns by how many milliseconds the advice for a job comes too late, as other steps are served before; not positive if it
     * comes in time.
     */
    private long adviceShortMillis(JobState job, long spareMillis, Moment now) {
        return spareMillis < 0
                ? (long) adviceBacklog.waitMillis(now) - MAX_LATE_JOB_WAIT_MILLIS
                : (long) adviceBacklog.shortageMillis(job, spareMillis, now);
    }

    /**
     * Returns whether a job meets its objective with the share of its team alone, whatever waits of other teams.
     *
     * <p>Answers the load of teams that fill the pool with accepted work: a job of a team under its share starts before
     * that work, so it need not be refused because of it.
     */
    private boolean fitsShareOfTeam(JobState job, Moment now) {
        Optional<TeamConfig> team = teamOf(job);
        return team.isPresent() && backlog.shareShortageMillis(job, team.get().name(), now) <= 0;
    }

    /**
     * Returns the time after its submission within which a job is to be completed, in milliseconds.
     */
    long objectiveMillis(JobState job) {
        return startDeadlines.objectiveMillis(job);
    }

    /**
     * Returns what a job is expected to find, for the log: the time within which it is to be completed, the time to spare of
     * its tightest step, the time that the work before it takes, and the capacity that this rests on.
     */
    Map<String, Object> expectation(JobState job, long objectiveMillis, Moment now) {
        Map<String, Object> inputs = new LinkedHashMap<>();
        inputs.put("objective", objectiveMillis);
        inputs.put("spare", (long) -backlog.overrunMillis(job, now));
        inputs.put("wait", (long) backlog.waitMillis(now));
        if (job.queue.advice().isPresent()) {
            inputs.put("adviceWait", (long) adviceBacklog.waitMillis(now));
        }
        inputs.put("workers", state.workers.size());
        inputs.put("arriving", state.arrivingMachines);
        return inputs;
    }

    /**
     * Discards the cached backlog after a cancellation, a change of the queues or of the number of arriving machines.
     */
    void invalidateBacklog() {
        backlog.invalidate();
    }

    /**
     * Adds the work of a job that was accepted to the backlog.
     */
    void jobAccepted(JobState job) {
        backlog.add(job);
        adviceBacklog.jobAccepted(job);
    }
}
