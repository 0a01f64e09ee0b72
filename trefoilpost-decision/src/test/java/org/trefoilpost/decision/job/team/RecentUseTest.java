package org.trefoilpost.decision.job.team;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a team that fills an idle pool and counts at once as one that has used it for long.
 */
class RecentUseTest {
    private static final long NOW = 1_000_000;
    private static final double TOLERANCE = 1e-9;

    @Test
    void meanStartsAtZero() {
        RecentUse use = new RecentUse(2_000);
        use.record(Map.of("a", 0.9), NOW);
        assertEquals(0, use.mean("a"), TOLERANCE);
        use.record(Map.of("a", 0.9), NOW + 2_000);
        assertEquals(0.9 * (1 - Math.exp(-1)), use.mean("a"), TOLERANCE);
    }
}
