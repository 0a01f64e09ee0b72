package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;

class ClaimInterleavingTest {
    private static final int INTERLEAVINGS = 1_000;
    private static final int MIN_KEYS_PER_INTERLEAVING = 100;
    private static final long FIRST_SEED = 20_260_101;

    private static final int RESTORES = 200;

    /** Multiplied by the system property {@code trefoilpost.claims.factor} for a longer run. */
    private static final int FACTOR = Integer.getInteger("trefoilpost.claims.factor", 1);

    @Test
    void everyKeyRunsAtMostOnceAndEveryVerdictMatchesItsRun() {
        int interleavings = INTERLEAVINGS * FACTOR;
        long keys = check(interleavings, seed -> new ClaimSimulation(seed).run());
        assertTrue(keys >= (long) interleavings * MIN_KEYS_PER_INTERLEAVING, "keys: " + keys);
    }

    @Test
    void everyKeyRunsAtMostOnceWhenTheStoreIsRestoredUnderItsOwner() {
        check(RESTORES * FACTOR, seed -> new ClaimSimulation(seed).runWithRestores());
    }

    private static long check(int interleavings, LongFunction<RunLog> simulation) {
        long keys = 0;
        long runs = 0;
        Map<String, Integer> verdicts = new TreeMap<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + interleavings; seed++) {
            RunLog log = simulation.apply(seed);
            keys += log.keys();
            runs += log.runs();
            log.counts().forEach((verdict, count) -> verdicts.merge(verdict, count, Integer::sum));
        }
        System.out.println(interleavings + " interleavings, " + keys + " keys, " + runs + " runs, " + verdicts);
        assertTrue(runs > keys / 3, "too few requests ran to prove anything: " + runs);
        return keys;
    }
}
