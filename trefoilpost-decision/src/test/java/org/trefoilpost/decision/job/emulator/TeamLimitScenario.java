package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.StoredGrants;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamGrantsCodec;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Runs several pools with team limits in virtual time while jobs are submitted, demand moves and faults are injected.
 */
public final class TeamLimitScenario {
    private static final int POOLS = 3;
    private static final int WORKERS_PER_POOL = 3;
    private static final long FAULT_MILLIS = 20_000;
    /** Time after the last fault in which takeovers and leases end. */
    private static final long RECOVERY_MILLIS = 20_000;

    private static final long UNDISTURBED_MILLIS = 15_000;
    private static final long DRAIN_MILLIS = 90_000;
    private static final long JOB_INTERVAL_MILLIS = 60;
    private static final long SAMPLE_MILLIS = 100;
    /** The longest time for which a job with room may have nothing running. */
    private static final long MAX_IDLE_MILLIS = 3_000;

    private static final int MAX_WRITES_PER_SECOND = 4;

    private static final List<String> TEAMS = List.of("a", "b", "c", "open");

    private final TeamPools pools;
    private final VirtualTime time;
    private final Random random;
    private final Map<String, Long> idleSinceMillis = new HashMap<>();
    private boolean checkIdle;
    private long stopSubmittingMillis;

    private TeamLimitScenario(long seed) {
        this.pools = new TeamPools(seed, POOLS, WORKERS_PER_POOL, teams(24_000, 40_000));
        this.time = pools.time();
        this.random = pools.random();
    }

    private static Teams teams(long capA, long capB) {
        Teams.Builder teams = Teams.builder();
        teams.team(new TeamConfig("a", 1, new ResourceAmount(capA, 0, 0)));
        teams.team(new TeamConfig("b", 1, new ResourceAmount(capB, 60_000, 0)));
        teams.team(new TeamConfig("c", 1, new ResourceAmount(8_000, 0, 0)));
        teams.team(new TeamConfig("open", 1, ResourceAmount.NONE));
        return teams.build();
    }

    /**
     * Runs without faults, while the demand of each team moves from pool to pool.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String withoutFaults(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> {});
    }

    /**
     * Runs while owners are killed.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String ownersKilled(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> scenario.injectEvery(2_500, scenario::killOwner));
    }

    /**
     * Runs while owners are frozen with their grants, and thawed after others have taken over.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String ownersFrozen(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> scenario.injectEvery(4_000, scenario::freezeOwner));
    }

    /**
     * Runs while owners are cut off from the store but reach their workers.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String ownersCutOff(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> scenario.injectEvery(4_000, scenario::cutOffOwner));
    }

    /**
     * Runs while owners lose their claims to others without knowing it.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String ownersRobbed(long seed) {
        return new TeamLimitScenario(seed)
                .run(scenario -> scenario.injectEvery(1_700, () -> scenario.pools.startOwner(scenario.randomPool())));
    }

    /**
     * Runs while owners lose their claims and some workers cannot be reached, so that they have not answered the new owner.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String takeoversWithSilentWorkers(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> {
            scenario.injectEvery(3_000, scenario::silenceWorker);
            scenario.injectEvery(2_000, () -> scenario.pools.startOwner(scenario.randomPool()));
        });
    }

    /**
     * Runs while caps are lowered far below what runs, and raised again.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String capsChanged(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> {
            scenario.injectEvery(4_000, () -> scenario.pools.configure(teams(6_000, 10_000)));
            scenario.time.schedule(
                    2_000, () -> scenario.injectEvery(4_000, () -> scenario.pools.configure(teams(24_000, 40_000))));
        });
    }

    /**
     * Runs while answers of the store and of workers are lost, and calls are carried out late.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String answersLost(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> scenario.pools.lostPerThousand(100));
    }

    /**
     * Runs with all faults combined.
     *
     * @param seed  the seed of jobs and faults
     * @return the violations, a line each, not null
     */
    public static String allFaults(long seed) {
        return new TeamLimitScenario(seed).run(scenario -> {
            scenario.pools.lostPerThousand(40);
            scenario.injectEvery(5_000, scenario::killOwner);
            scenario.injectEvery(6_000, scenario::freezeOwner);
            scenario.injectEvery(7_000, scenario::cutOffOwner);
            scenario.injectEvery(4_500, () -> scenario.pools.startOwner(scenario.randomPool()));
            scenario.injectEvery(5_500, scenario::silenceWorker);
            scenario.injectEvery(8_000, () -> scenario.pools.configure(teams(6_000, 10_000)));
            scenario.time.schedule(
                    3_000, () -> scenario.injectEvery(8_000, () -> scenario.pools.configure(teams(24_000, 40_000))));
        });
    }

    private String run(Consumer<TeamLimitScenario> faults) {
        stopSubmittingMillis = time.nowMillis() + FAULT_MILLIS + RECOVERY_MILLIS + UNDISTURBED_MILLIS;
        submit();
        sample();
        faults.accept(this);
        time.runFor(FAULT_MILLIS);
        endFaults();
        time.runFor(RECOVERY_MILLIS);
        checkIdle = true;
        time.runFor(UNDISTURBED_MILLIS + DRAIN_MILLIS);
        checkEnds();
        checkLoad();
        return String.join("\n", pools.checks().violations());
    }

    private void endFaults() {
        pools.lostPerThousand(0);
        pools.configure(teams(24_000, 40_000));
        for (TeamPoolOwner owner : List.copyOf(pools.allOwners())) {
            owner.freeze(false);
            owner.cutOff(false);
        }
        pools.names().forEach(pool -> {
            pools.workers(pool).forEach(worker -> worker.reachable(true));
            if (pools.owner(pool).isStopped()) {
                pools.startOwner(pool);
            }
        });
    }

    private void injectEvery(long millis, Runnable fault) {
        long end = time.nowMillis() + FAULT_MILLIS - millis / 2;
        for (long at = millis / 2; time.nowMillis() + at < end; at += millis) {
            time.schedule(at + random.nextInt((int) millis / 2), () -> {
                if (!checkIdle) {
                    fault.run();
                }
            });
        }
    }

    private String randomPool() {
        return pools.names().get(random.nextInt(POOLS));
    }

    private void killOwner() {
        String pool = randomPool();
        pools.owner(pool).kill();
        time.schedule(500 + random.nextInt(2_500), () -> pools.startOwner(pool));
    }

    private void freezeOwner() {
        String pool = randomPool();
        TeamPoolOwner owner = pools.owner(pool);
        owner.freeze(true);
        time.schedule(1_000 + random.nextInt(3_000), () -> pools.startOwner(pool));
        time.schedule(500 + random.nextInt(8_000), () -> owner.freeze(false));
    }

    private void cutOffOwner() {
        String pool = randomPool();
        TeamPoolOwner owner = pools.owner(pool);
        owner.cutOff(true);
        if (random.nextBoolean()) {
            time.schedule(1_000 + random.nextInt(3_000), () -> pools.startOwner(pool));
        }
        time.schedule(500 + random.nextInt(12_000), () -> owner.cutOff(false));
    }

    private void silenceWorker() {
        List<EmulatedWorker> workers = pools.workers(randomPool());
        EmulatedWorker worker = workers.get(random.nextInt(workers.size()));
        worker.reachable(false);
        time.schedule(500 + random.nextInt(6_000), () -> worker.reachable(true));
    }

    private void submit() {
        if (time.nowMillis() >= stopSubmittingMillis) {
            return;
        }
        int teamNumber = random.nextInt(TEAMS.size() + 1);
        Optional<String> team = teamNumber < TEAMS.size() ? Optional.of(TEAMS.get(teamNumber)) : Optional.empty();
        // The demand of each team moves to the next pool every 3 s; a third of the jobs goes elsewhere.
        int moved = (int) (time.nowMillis() / 3_000 + teamNumber) % POOLS;
        String pool = random.nextInt(3) == 0 ? randomPool() : pools.names().get(moved);
        pools.submit(team, pool, randomStep(team), 200 + random.nextInt(800));
        time.schedule(JOB_INTERVAL_MILLIS, this::submit);
    }

    private StepSpec randomStep(Optional<String> team) {
        int kind = random.nextInt(40);
        boolean small = team.equals(Optional.of("c"));
        long cpu = small ? 200 + random.nextInt(1_000) : 500 + random.nextInt(2_500);
        int tasks = 1 + random.nextInt(small ? 2 : 5);
        if (small && kind == 0) {
            // A task larger than the team's cap.
            cpu = 10_000;
            tasks = 1;
        }
        return StepSpec.builder()
                .tasks(tasks, new ResourceAmount(cpu, 128 + random.nextInt(1_000), 0))
                .estimateMillis(600)
                .gang(kind == 1, false)
                .build();
    }

    private void sample() {
        if (checkIdle) {
            pools.jobs().forEach(this::checkIdle);
        }
        time.schedule(SAMPLE_MILLIS, this::sample);
    }

    /**
     * Checks that a job with room in its pool and under its team's cap does not wait with nothing running.
     */
    private void checkIdle(String id, JobSpec job) {
        StepSpec step = job.steps().get(0);
        JobPhase phase = pools.phase(id);
        boolean ended = phase == null || phase.ended();
        if (ended || step.gang() || pools.isRunning(id) || !hasRoom(job, step.demand())) {
            idleSinceMillis.remove(id);
            return;
        }
        long since = idleSinceMillis.computeIfAbsent(id, key -> time.nowMillis());
        if (time.nowMillis() - since > MAX_IDLE_MILLIS) {
            pools.checks()
                    .addViolation("IDLE " + id + " of " + job.team() + " in " + pools.poolOf(id) + " demands "
                            + step.demand() + " since " + since + "\n" + pools.recentTrace());
            idleSinceMillis.put(id, Long.MAX_VALUE / 2);
        }
    }

    private boolean hasRoom(JobSpec job, ResourceAmount demand) {
        boolean inPool = pools.workers(pools.poolOf(job.id())).stream()
                .anyMatch(worker ->
                        demand.times(2).fitsIn(worker.report().capacity().minus(worker.used())));
        if (job.team().isEmpty() || !inPool) {
            return inPool;
        }
        ResourceAmount cap = pools.teams().team(job.team().get()).orElseThrow().cap();
        ResourceAmount running = pools.running(job.team().get());
        boolean oversize = cap.cpuMillis() != 0 && demand.cpuMillis() > cap.cpuMillis();
        return !oversize
                && isBelowHalf(running.cpuMillis(), cap.cpuMillis())
                && isBelowHalf(running.memoryMb(), cap.memoryMb());
    }

    private static boolean isBelowHalf(long amount, long cap) {
        return cap == 0 || amount * 2 < cap;
    }

    /**
     * Checks that the limits were in effect, and how often the pools wrote their grants.
     */
    private void checkLoad() {
        if (pools.decisionCount("team-limit-reached") == 0) {
            pools.checks().addViolation("LOAD no team has reached its limit");
        }
        long seconds = (FAULT_MILLIS + RECOVERY_MILLIS + UNDISTURBED_MILLIS + DRAIN_MILLIS) / 1_000;
        if (pools.keys().writes() > MAX_WRITES_PER_SECOND * POOLS * seconds) {
            pools.checks().addViolation("WRITES " + pools.keys().writes() + " in " + seconds + " s");
        }
    }

    private void checkEnds() {
        List<String> open = new ArrayList<>();
        pools.jobs().forEach((id, job) -> {
            JobPhase phase = pools.phase(id);
            if (phase != null && !phase.ended()) {
                open.add(id + " of " + job.team() + " in " + pools.poolOf(id) + " demands "
                        + job.steps().get(0).demand() + " gang "
                        + job.steps().get(0).gang());
            }
        });
        if (!open.isEmpty()) {
            pools.checks()
                    .addViolation("LOST " + open.size() + " jobs are not completed, as " + open.get(0) + "\n"
                            + pools.recentTrace());
        }
        for (Map.Entry<String, StoredGrants> team : pools.keys().all().entrySet()) {
            var rows = TeamGrantsCodec.decode(
                            team.getValue().value(), team.getValue().revision())
                    .pools();
            if (!rows.isEmpty()) {
                pools.checks().addViolation("KEPT " + team.getKey() + " " + rows + "\n" + pools.recentTrace());
            }
        }
    }
}
