package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FirstOffersTest {
    private final FirstOffers offers = new FirstOffers();

    @Test
    void aRefusedJobThatComesBackKeepsItsFirstTime() {
        offers.refused("a", 1_000);
        offers.refused("a", 1_500);
        assertEquals(1_000, offers.firstMillis("a", 2_000));
        assertEquals(2_000, offers.firstMillis("b", 2_000));
    }

    @Test
    void aJobThatWasTakenIsForgotten() {
        offers.refused("a", 1_000);
        offers.taken("a");
        assertEquals(2_000, offers.firstMillis("a", 2_000));
    }

    @Test
    void whoDoesNotComeBackIsForgotten() {
        offers.refused("a", 1_000);
        offers.refused("b", 20_000);
        offers.refused("c", 40_000);
        assertEquals(50_000, offers.firstMillis("a", 50_000));
        assertEquals(20_000, offers.firstMillis("b", 50_000));
    }

    @Test
    void noMoreThanAFixedNumberAreRemembered() {
        for (int i = 0; i <= 20_000; i++) {
            offers.refused("job-" + i, 1_000);
        }
        assertEquals(2_000, offers.firstMillis("job-0", 2_000));
        assertEquals(1_000, offers.firstMillis("job-1", 2_000));
    }
}
