package org.trefoilpost.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class LineTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    void fit_pointsOnALine_isThatLine() {
        Line line = Line.fit(new double[] {1, 2, 5, 10}, new double[] {5, 7, 13, 23});
        assertEquals(3, line.intercept(), TOLERANCE);
        assertEquals(2, line.slope(), TOLERANCE);
        assertEquals(0, line.spread(), TOLERANCE);
    }

    @Test
    void fit_pointOffTheLine_isTheSpread() {
        Line line = Line.fit(new double[] {0, 1, 2}, new double[] {0, 3, 0});
        assertEquals(0, line.slope(), TOLERANCE);
        assertEquals(1, line.intercept(), TOLERANCE);
        assertEquals(2, line.spread(), TOLERANCE);
    }

    @Test
    void fit_oneSizeOnly_isRefused() {
        assertThrows(IllegalArgumentException.class, () -> Line.fit(new double[] {4, 4}, new double[] {1, 2}));
    }
}
