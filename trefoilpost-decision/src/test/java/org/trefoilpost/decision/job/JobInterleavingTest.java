package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class JobInterleavingTest {
    private static final long FIRST_SEED = 20_260_301;
    private static final int INTERLEAVINGS = 80;

    /** Multiplied by the system property {@code trefoilpost.jobs.factor} for a longer run. */
    private static final int FACTOR = Integer.getInteger("trefoilpost.jobs.factor", 1);

    @Test
    void noJobRunsTwiceAtOnceAndEveryAcceptedJobEnds() {
        Map<String, Integer> counts = new TreeMap<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + (long) INTERLEAVINGS * FACTOR; seed++) {
            new JobSimulation(seed).run().counts.forEach((name, count) -> counts.merge(name, count, Integer::sum));
        }
        System.out.println(INTERLEAVINGS * FACTOR + " interleavings: " + counts);
        assertTrue(counts.get("done") > 10L * INTERLEAVINGS * FACTOR, "too few jobs ran to prove anything: " + counts);
        assertTrue(counts.get("failed") > 0 && counts.get("cancelled") > 0, "no faults were met: " + counts);
    }
}
