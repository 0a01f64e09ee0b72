package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.TeamBurstSimulation;
import org.trefoilpost.decision.job.emulator.TeamBurstSimulation.Variant;

/**
 * Guards against a team's burst that makes the jobs of other teams late or refused, and against shares that cost the
 * whole: the same submissions with and without teams in the configuration.
 */
class TeamBurstTest {
    private static final int SEEDS = 6;
    /** The value of all jobs served may fall by this much below capacity, where jobs beyond the rate are refused. */
    private static final double MAX_VALUE_LOSS = 0.015;

    @Test
    void otherTeamsAreServedWhileSomeBurstBelowCapacity() {
        Means before = mean(0.8, Variant.UNKNOWN_TEAMS);
        Means after = mean(0.8, Variant.TEAMS);
        String measured = "before " + before + ", after " + after;
        assertTrue(after.others >= 0.99, measured);
        assertTrue(after.worstTenth >= 0.97, measured);
        assertTrue(after.whole >= before.whole - MAX_VALUE_LOSS, measured);
    }

    @Test
    void entitledJobsAreServedWhileSomeBurstAtCapacity() {
        Means before = mean(1.0, Variant.UNKNOWN_TEAMS);
        Means after = mean(1.0, Variant.TEAMS);
        String measured = "before " + before + ", after " + after;
        assertTrue(after.others >= before.others + 0.1, measured);
        assertTrue(after.worstTenth >= before.worstTenth + 0.05, measured);
        assertTrue(after.whole >= before.whole - MAX_VALUE_LOSS, measured);
    }

    @Test
    void overloadIsSharedWithoutLossForTheWhole() {
        for (double load : new double[] {2, 5}) {
            Means before = mean(load, Variant.UNKNOWN_TEAMS);
            Means after = mean(load, Variant.TEAMS);
            String measured = "load " + load + ": before " + before + ", after " + after;
            assertTrue(after.entitled >= before.entitled + 0.05, measured);
            assertTrue(after.worstTenth >= before.worstTenth + 0.03, measured);
            assertTrue(after.whole >= before.whole - 0.005, measured);
            assertTrue(after.idle <= before.idle + 0.01, measured);
        }
    }

    @Test
    void nothingChangesWithoutTeamsInTheConfiguration() {
        for (double load : new double[] {0.8, 3}) {
            assertEquals(
                    TeamBurstSimulation.run(1, load, Variant.NO_TEAMS),
                    TeamBurstSimulation.run(1, load, Variant.UNKNOWN_TEAMS));
        }
    }

    @Test
    void nothingChangesWhileThePoolHasRoom() {
        assertEquals(
                TeamBurstSimulation.run(1, 0.15, Variant.NO_TEAMS), TeamBurstSimulation.run(1, 0.15, Variant.TEAMS));
    }

    private static Means mean(double load, Variant variant) {
        double entitled = 0;
        double worstTenth = 0;
        double others = 0;
        double whole = 0;
        double idle = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            TeamBurstSimulation.Result result = TeamBurstSimulation.run(seed, load, variant);
            assertEquals("", result.violations(), "seed " + seed);
            entitled += result.entitledInTime() / SEEDS;
            worstTenth += result.worstTenth() / SEEDS;
            others += result.othersInTime() / SEEDS;
            whole += result.whole() / SEEDS;
            idle += result.idle() / SEEDS;
        }
        Means means = new Means(entitled, worstTenth, others, whole, idle);
        System.out.println("load " + load + " " + variant + " " + means);
        return means;
    }

    private record Means(double entitled, double worstTenth, double others, double whole, double idle) {
        @Override
        public String toString() {
            return String.format(
                    "entitled %.3f, worst tenth %.3f, others %.3f, whole %.3f, idle %.3f",
                    entitled, worstTenth, others, whole, idle);
        }
    }
}
