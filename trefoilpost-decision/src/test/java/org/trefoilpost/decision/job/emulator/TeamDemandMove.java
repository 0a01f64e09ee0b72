package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Measures how soon a team runs in one pool what its cap allows, without faults.
 */
public final class TeamDemandMove {
    private static final String TEAM = "a";
    private static final ResourceAmount TASK = new ResourceAmount(1_000, 256, 0);
    private static final long CAP_CPU_MILLIS = 24_000;
    private static final long STEP_MILLIS = 10;
    private static final long MAX_MILLIS = 10_000;

    private final TeamPools pools;
    private final VirtualTime time;

    private TeamDemandMove(long seed, long capCpuMillis) {
        Teams teams = Teams.builder()
                .team(new TeamConfig(TEAM, 1, new ResourceAmount(capCpuMillis, 0, 0)))
                .build();
        this.pools = new TeamPools(seed, 3, 3, teams);
        this.time = pools.time();
        time.runFor(2_000);
    }

    /**
     * Moves the demand of a team that fills its cap in some pools to another pool.
     *
     * @param seed  the seed of delays
     * @param formerPools  the number of pools that had the demand before, 1 or 2
     * @return the time from the end of the last run in the other pools until the cap is reached, in milliseconds
     */
    public static long moveMillis(long seed, int formerPools) {
        TeamDemandMove move = new TeamDemandMove(seed, CAP_CPU_MILLIS);
        List<String> former = new ArrayList<>();
        for (int pool = 1; pool <= formerPools; pool++) {
            former.add(move.submit("p" + pool, 60, 1_000));
        }
        move.time.runFor(2_500);
        for (int pool = 1; pool <= formerPools; pool++) {
            move.pools.owner("p" + pool).cancel(former.get(pool - 1));
        }
        move.submit("p3", 40, 60_000);
        return move.millisUntilCapIsReached();
    }

    private long millisUntilCapIsReached() {
        long start = time.nowMillis();
        long lastRunElsewhere = start;
        while (time.nowMillis() < start + MAX_MILLIS) {
            time.runFor(STEP_MILLIS);
            ResourceAmount there = pools.running(TEAM, "p3");
            if (!there.equals(pools.running(TEAM))) {
                lastRunElsewhere = time.nowMillis();
            }
            if (there.cpuMillis() >= CAP_CPU_MILLIS) {
                return time.nowMillis() - lastRunElsewhere;
            }
        }
        return MAX_MILLIS;
    }

    /**
     * Submits jobs of a team whose cap has plenty of room, one after the other.
     *
     * @param seed  the seed of delays
     * @return the longest time from a submission until the job runs, in milliseconds
     */
    public static long longestStartMillis(long seed) {
        TeamDemandMove load = new TeamDemandMove(seed, 1_000_000);
        long longest = 0;
        for (int i = 0; i < 60; i++) {
            long submitted = load.time.nowMillis();
            String job = load.submit("p" + (1 + i % 2), 1 + i % 3, 700);
            while (!load.pools.isRunning(job) && load.time.nowMillis() < submitted + MAX_MILLIS) {
                load.time.runFor(1);
            }
            longest = Math.max(longest, load.time.nowMillis() - submitted);
            load.time.runFor(i % 20 == 19 ? 5_000 : 50);
        }
        return longest;
    }

    private String submit(String pool, int tasks, long taskMillis) {
        StepSpec step =
                StepSpec.builder().tasks(tasks, TASK).estimateMillis(taskMillis).build();
        return pools.submit(Optional.of(TEAM), pool, step, taskMillis);
    }
}
