package org.trefoilpost.decision.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Property(seed = "61", tries = 500)
    void attemptsStayWithinTheShareAndTheBurst(
            @ForAll long seed, @ForAll @IntRange(max = 100) int percent, @ForAll @IntRange(max = 20) int burst) {
        Random random = new Random(seed);
        double share = percent / 100.0;
        RetryBudget budget = RetryBudget.of(share, burst);
        int requests = 0;
        int attempts = 0;
        int greed = 1 + random.nextInt(10);
        for (int i = 0; i < 2_000; i++) {
            if (random.nextInt(greed) == 0) {
                budget.firstAttempt();
                requests++;
                attempts++;
            } else if (budget.tryRetry()) {
                attempts++;
            }
            assertTrue(attempts <= (1 + share) * requests + burst + 1e-6, attempts + " of " + requests);
        }
    }

    @Test
    void firstAttemptsAccrueNoMoreThanTheBurst() {
        RetryBudget budget = RetryBudget.ofDefaults();
        for (int i = 0; i < 10_000; i++) {
            budget.firstAttempt();
        }
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }
        assertEquals(RetryBudget.DEFAULT_BURST, retries);
    }

    @Test
    void rejectsSharesOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(0.1, -1));
    }
}
