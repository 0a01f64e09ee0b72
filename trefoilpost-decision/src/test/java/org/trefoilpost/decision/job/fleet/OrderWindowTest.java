package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Moment;

class OrderWindowTest {
    private static final long HANDOVER_MILLIS = OrderWindow.HANDOVER_MILLIS;
    private static final Moment CLAIMED = new Moment(50_000, 1_000_000);
    private static final int SEEDS = 400;

    private final OrderWindow window = OrderWindow.ofClaim(CLAIMED);

    @Test
    void firstOrderWaitsForTheHandover() {
        Moment before = CLAIMED.plus(HANDOVER_MILLIS - 1);
        assertFalse(window.withConfirmation(before).includes(before));
        Moment after = CLAIMED.plus(HANDOVER_MILLIS);
        assertTrue(window.withConfirmation(after).includes(after));
    }

    @Test
    void ordersEndSoonAfterTheLastConfirmation() {
        Moment confirmed = CLAIMED.plus(HANDOVER_MILLIS);
        OrderWindow open = window.withConfirmation(confirmed);
        assertTrue(open.includes(confirmed.plus(OrderWindow.CONFIRMATION_VALID_MILLIS - 1)));
        assertFalse(open.includes(confirmed.plus(OrderWindow.CONFIRMATION_VALID_MILLIS)));
        assertTrue(open.isConfirmationDue(confirmed.plus(OrderWindow.CONFIRMATION_VALID_MILLIS)));
    }

    @Test
    void suspensionClosesTheWindowThoughTheSteadyClockStoodStill() {
        Moment confirmed = CLAIMED.plus(HANDOVER_MILLIS);
        OrderWindow open = window.withConfirmation(confirmed);
        assertFalse(open.includes(new Moment(confirmed.steadyMillis() + 10, confirmed.wallMillis() + 4_000)));
        assertFalse(open.includes(new Moment(confirmed.steadyMillis() + 10, confirmed.wallMillis() - 4_000)));
        assertFalse(open.withoutConfirmation().includes(confirmed));
    }

    @Test
    void platformThatComparesTokensNeedsNoWindow() {
        OrderWindow unlimited = OrderWindow.UNLIMITED;
        assertTrue(unlimited.includes(CLAIMED));
        assertTrue(unlimited.withoutConfirmation().includes(CLAIMED));
        assertFalse(unlimited.isConfirmationDue(CLAIMED));
    }

    @Test
    void ordersOfTwoOwnersNeverOverlap() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertEquals("", new MachineOrderSimulation(seed, true, false).firstViolation(), "seed " + seed);
        }
    }

    @Test
    void ordersOfTwoOwnersNeverOverlapIfTheNewOneKnewOfTheEndOfTheClaim() {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertEquals("", new MachineOrderSimulation(seed, true, true).firstViolation(), "seed " + seed);
        }
    }

    @Test
    void handoverBeginsWhenTheMachinesWereKnownToHaveNoOwner() {
        OrderWindow earlier = window.withHandoverSince(CLAIMED.steadyMillis() - 600);
        Moment first = CLAIMED.plus(HANDOVER_MILLIS - 600);
        assertFalse(earlier.withConfirmation(first).includes(first.plus(-1)));
        assertTrue(earlier.withConfirmation(first).includes(first));
        OrderWindow later = window.withHandoverSince(CLAIMED.steadyMillis() + 600);
        assertTrue(later.withConfirmation(CLAIMED.plus(HANDOVER_MILLIS)).includes(CLAIMED.plus(HANDOVER_MILLIS)));
    }

    @Test
    void simulationFindsOverlappingOrdersWithoutTheWindow() {
        int violations = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            violations += new MachineOrderSimulation(seed, false, false)
                            .firstViolation()
                            .isEmpty()
                    ? 0
                    : 1;
        }
        assertTrue(violations > SEEDS / 10, "seeds with a lower token after a higher one: " + violations);
    }
}
