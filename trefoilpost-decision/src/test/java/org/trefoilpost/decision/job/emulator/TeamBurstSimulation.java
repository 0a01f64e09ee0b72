package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.SubmitResult;
import org.trefoilpost.decision.job.team.SubmissionRate;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Simulates teams of uneven size that share a pool, some of which submit several times their usual load for some
 * seconds. Callers retry refused jobs after the delay that the refusal names.
 */
public final class TeamBurstSimulation {
    private static final String QUEUE = "queue";
    private static final int TEAMS = 20;
    private static final int WORKERS = 24;
    private static final double POOL_CORES = 16 * WORKERS;
    private static final long LOAD_MILLIS = 24_000;
    private static final long BURST_START_MILLIS = 8_000;
    /** Time after a burst during which its jobs still keep others waiting. */
    private static final long BURST_AFTERMATH_MILLIS = 3_000;

    private static final long SETTLE_MILLIS = 20_000;
    private static final int MAX_SUBMISSIONS = 5;
    /** Error of estimated run times, as the standard deviation of their logarithm. */
    private static final double ESTIMATE_DEVIATION = 0.6;

    private static final double OBJECTIVE_FACTOR = 1.6;
    private static final long OBJECTIVE_ALLOWANCE_MILLIS = 600;
    /** The value of a job that completes after its objective, but within three times that time. */
    private static final double LATE_VALUE = 1.0 / 14;

    private static final int LATE_FACTOR = 3;
    /** The value of a job without its work, and of the work of a mean job. */
    private static final double FIXED_VALUE = 0.3;

    private static final double WORK_VALUE = 0.7;
    /** The largest team is this many times as large as the smallest. */
    private static final double LARGEST_TO_SMALLEST = 8;
    /** The rate that a team is entitled to, relative to its usual load. */
    private static final double RATE_MARGIN = 1.25;

    private static final long SAMPLE_MILLIS = 20;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EmulatedPlatform platform;
    private final Variant variant;
    private final VirtualTime time;
    private final Random random;
    private final List<Caller> callers = new ArrayList<>();
    private final double[] usualRates = new double[TEAMS];
    private final double[] burstFactors = new double[TEAMS];
    private final long[] burstEndMillis = new long[TEAMS];
    private long burstsEndMillis = BURST_START_MILLIS;
    private double usedCores;
    private int samples;

    private TeamBurstSimulation(long seed, double load, Variant variant) {
        this.platform = new EmulatedPlatform(seed, WORKERS, OBJECTIVE_FACTOR, OBJECTIVE_ALLOWANCE_MILLIS);
        this.time = platform.time();
        this.random = new Random(seed);
        platform.livingWorkers().forEach(worker -> worker.failuresPerThousand(2));
        drawTeams(load);
        this.variant = variant;
        if (variant == Variant.TEAMS) {
            Teams.Builder teams = Teams.builder();
            for (int team = 0; team < TEAMS; team++) {
                teams.team(new TeamConfig(name(team), RATE_MARGIN * usualRates[team], ResourceAmount.NONE));
            }
            platform.configureTeams(teams.build());
        }
    }

    /**
     * Simulates one load. The same seed and load give the same submissions with and without teams.
     *
     * @param seed  the seed of teams, jobs and faults
     * @param load  the usual load of all teams, as a multiple of the pool's capacity
     * @param variant  whether there are teams, not null
     * @return the result, not null
     */
    public static Result run(long seed, double load, Variant variant) {
        return new TeamBurstSimulation(seed, load, variant).run();
    }

    /**
     * Whether there are teams.
     */
    public enum Variant {
        /** Neither the configuration nor the jobs have teams. */
        NO_TEAMS,
        /** The jobs have teams that are not in the configuration. */
        UNKNOWN_TEAMS,
        /** The jobs and the configuration have teams. */
        TEAMS
    }

    private static String name(int team) {
        return "team-" + team;
    }

    private void drawTeams(double load) {
        double total = 0;
        for (int team = 0; team < TEAMS; team++) {
            usualRates[team] = Math.pow(LARGEST_TO_SMALLEST, (double) team / (TEAMS - 1));
            total += usualRates[team];
            burstFactors[team] = 1;
        }
        double jobsPerSecond = load * POOL_CORES / RandomJob.MEAN_CORE_SECONDS;
        for (int team = 0; team < TEAMS; team++) {
            usualRates[team] *= jobsPerSecond / total;
        }
        int bursts = 1 + random.nextInt(3);
        for (int i = 0; i < bursts; i++) {
            int team = random.nextInt(TEAMS);
            burstFactors[team] = 4 + 4 * random.nextDouble();
            burstEndMillis[team] = BURST_START_MILLIS + 5_000 + random.nextInt(2_000);
            burstsEndMillis = Math.max(burstsEndMillis, burstEndMillis[team]);
        }
    }

    private Result run() {
        List<SubmissionRate> entitlements = new ArrayList<>();
        for (double rate : usualRates) {
            entitlements.add(new SubmissionRate(RATE_MARGIN * rate, 0));
        }
        for (long at = 0; at < LOAD_MILLIS; at++) {
            for (int team = 0; team < TEAMS; team++) {
                boolean burst = at >= BURST_START_MILLIS && at < burstEndMillis[team];
                double rate = usualRates[team] * (burst ? burstFactors[team] : 1);
                if (random.nextDouble() < rate / MILLIS_PER_SECOND) {
                    boolean entitled = entitlements.get(team).tryTake(false, at);
                    Caller caller = new Caller(callers.size() + 1, team, at, entitled);
                    callers.add(caller);
                    time.schedule(at, caller::begin);
                }
            }
            if (at >= BURST_START_MILLIS && at < burstsEndMillis && at % SAMPLE_MILLIS == 0) {
                time.schedule(at, this::sampleUse);
            }
        }
        time.runFor(LOAD_MILLIS + SETTLE_MILLIS);
        return result();
    }

    private void sampleUse() {
        samples++;
        usedCores += platform.livingWorkers().stream()
                        .mapToLong(worker -> worker.used().cpuMillis())
                        .sum()
                / 1_000.0;
    }

    private Result result() {
        double[] entitled = new double[TEAMS];
        double[] inTime = new double[TEAMS];
        double[] duringBursts = new double[TEAMS];
        double[] inTimeDuringBursts = new double[TEAMS];
        double value = 0;
        double gained = 0;
        for (Caller caller : callers) {
            value += caller.value();
            gained += caller.value() * caller.servedShare();
            if (caller.entitled) {
                boolean met = caller.completionMillis() <= caller.objectiveMillis;
                entitled[caller.team]++;
                inTime[caller.team] += met ? 1 : 0;
                boolean burst = caller.atMillis >= BURST_START_MILLIS
                        && caller.atMillis < burstsEndMillis + BURST_AFTERMATH_MILLIS;
                duringBursts[caller.team] += burst ? 1 : 0;
                inTimeDuringBursts[caller.team] += burst && met ? 1 : 0;
            }
        }
        double[] shares = new double[TEAMS];
        double others = 0;
        double othersInTime = 0;
        for (int team = 0; team < TEAMS; team++) {
            shares[team] = inTime[team] / Math.max(1, entitled[team]);
            others += burstFactors[team] > 1 ? 0 : duringBursts[team];
            othersInTime += burstFactors[team] > 1 ? 0 : inTimeDuringBursts[team];
        }
        Arrays.sort(shares);
        return new Result(
                Arrays.stream(shares).average().orElseThrow(),
                (shares[0] + shares[1]) / 2,
                othersInTime / others,
                gained / value,
                1 - usedCores / samples / POOL_CORES,
                platform.decisionCount("task-placed"),
                String.join("\n", platform.checks().violations()));
    }

    /**
     * Returns the delay that callers wait: the header of a refusal has whole seconds.
     */
    private static long wholeSeconds(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND * MILLIS_PER_SECOND;
    }

    /**
     * The outcome of the jobs.
     *
     * @param entitledInTime  the share of the entitled jobs of a team that were in time, as the mean of the teams
     * @param worstTenth  the same of the worst tenth of the teams
     * @param othersInTime  the same of the jobs that teams without a burst submitted during the bursts, of all teams
     * @param whole  the value of all jobs served, entitled or not, as a share of the value submitted
     * @param idle  the share of the pool's capacity that was idle during the bursts
     * @param placedTasks  the number of tasks placed
     * @param violations  the violated invariants, a line each, empty if there are none, not null
     */
    public record Result(
            double entitledInTime,
            double worstTenth,
            double othersInTime,
            double whole,
            double idle,
            int placedTasks,
            String violations) {}

    /**
     * A caller with one job, who submits it again after each refusal, up to {@link #MAX_SUBMISSIONS} times in all.
     */
    private final class Caller {
        private final RandomJob job;
        private final int team;
        private final long atMillis;
        private final boolean entitled;
        private final long objectiveMillis;
        private long submittedMillis;
        private int submissions;

        Caller(int number, int team, long atMillis, boolean entitled) {
            RandomJob drawn = RandomJob.draw(number, QUEUE, ESTIMATE_DEVIATION, random);
            this.job = variant == Variant.NO_TEAMS ? drawn : drawn.ofTeam(name(team));
            this.team = team;
            this.atMillis = atMillis;
            this.entitled = entitled;
            this.objectiveMillis = (long) (OBJECTIVE_FACTOR * job.criticalPathMillis()) + OBJECTIVE_ALLOWANCE_MILLIS;
        }

        void begin() {
            submittedMillis = time.nowMillis();
            submit();
        }

        private void submit() {
            submissions++;
            SubmitResult answer = platform.submitJob(job.spec(), job::durationMillis);
            if (answer.kind() == SubmitResult.Kind.REFUSED && submissions < MAX_SUBMISSIONS) {
                time.schedule(wholeSeconds(answer.retryAfterMillis()), this::submit);
            }
        }

        double value() {
            return FIXED_VALUE + WORK_VALUE * job.work() / (1_000_000 * RandomJob.MEAN_CORE_SECONDS);
        }

        double servedShare() {
            long millis = completionMillis();
            if (millis <= objectiveMillis) {
                return 1;
            }
            return millis <= LATE_FACTOR * objectiveMillis ? LATE_VALUE : 0;
        }

        long completionMillis() {
            return platform.completedMillis(job.spec().id()).isPresent()
                    ? platform.completedMillis(job.spec().id()).getAsLong() - submittedMillis
                    : Long.MAX_VALUE;
        }
    }
}
