package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class ClaimInterleavingTest {
    private static final int INTERLEAVINGS = 1_000;
    private static final int MIN_KEYS_PER_INTERLEAVING = 100;
    private static final long FIRST_SEED = 20_260_101;

    /** Multiplied by the system property {@code trefoilpost.claims.factor} for a longer run. */
    @Test
    void everyKeyRunsAtMostOnceAndEveryVerdictIsTrue() {
        int interleavings = INTERLEAVINGS * Integer.getInteger("trefoilpost.claims.factor", 1);
        long keys = 0;
        long runs = 0;
        Map<String, Integer> verdicts = new TreeMap<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + interleavings; seed++) {
            RunLog log = new ClaimSimulation(seed).run();
            keys += log.keys();
            runs += log.runs();
            log.counts().forEach((verdict, count) -> verdicts.merge(verdict, count, Integer::sum));
        }
        System.out.println(interleavings + " interleavings, " + keys + " keys, " + runs + " runs, " + verdicts);
        assertTrue(keys >= (long) interleavings * MIN_KEYS_PER_INTERLEAVING, "keys: " + keys);
        assertTrue(runs > keys / 3, "too few requests ran to prove anything: " + runs);
    }
}
