package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.trefoilpost.decision.job.Moment;

/**
 * Plays owners of one machine that are cut off from the store, suspended and robbed of their claim, with orders that the
 * network delays, on a platform that accepts every fencing token.
 */
final class MachineOrderSimulation {
    private static final long STEP_MILLIS = 10;
    private static final long LENGTH_MILLIS = 40_000;
    private static final int HOLDERS = 3;
    private static final long LEASE_MILLIS = 2_000;
    private static final long RENEWAL_MILLIS = 600;
    private static final long RECLAIM_MILLIS = 200;
    private static final double FAULT_CHANCE = 0.002;
    private static final int MAX_FAULT_MILLIS = 6_000;

    private final Random random;
    private final boolean limited;
    private final boolean ownersWatchClaims;
    private final List<Holder> holders = new ArrayList<>();
    private final List<Order> ordersInNetwork = new ArrayList<>();
    private long nowMillis;
    private long lastRevision = 1;
    private long claimToken;
    private Holder claimOwner;
    private long claimExpiryMillis;
    private long highestToken;
    /** Counts the ends of claims. */
    private int endedClaims;

    private String violation = "";

    /**
     * Constructs a simulation.
     *
     * @param limited  whether owners keep to their windows
     * @param ownersWatchClaims  whether owners know since when there was no owner before their claims
     */
    MachineOrderSimulation(long seed, boolean limited, boolean ownersWatchClaims) {
        this.random = new Random(seed);
        this.limited = limited;
        this.ownersWatchClaims = ownersWatchClaims;
        for (int i = 0; i < HOLDERS; i++) {
            holders.add(new Holder("holder-" + i));
        }
    }

    /**
     * Returns a description of the first order that arrived after one with a higher token, empty if there is none.
     */
    String firstViolation() {
        for (nowMillis = 0; nowMillis < LENGTH_MILLIS && violation.isEmpty(); nowMillis += STEP_MILLIS) {
            expireClaim();
            holders.forEach(Holder::step);
            deliverOrders();
        }
        return violation;
    }

    private void expireClaim() {
        boolean revoked = random.nextDouble() < FAULT_CHANCE / 2;
        if (claimOwner != null && (revoked || nowMillis >= claimExpiryMillis)) {
            claimOwner = null;
            claimToken = 0;
            endedClaims++;
        }
    }

    private void deliverOrders() {
        for (Order order : List.copyOf(ordersInNetwork)) {
            if (nowMillis >= order.arrivalMillis) {
                ordersInNetwork.remove(order);
                if (order.token < highestToken) {
                    violation = "token " + order.token + " after " + highestToken + " at " + nowMillis;
                }
                highestToken = Math.max(highestToken, order.token);
            }
        }
    }

    private record Order(long token, long arrivalMillis) {}

    /**
     * An entry that claims the machines when they have no owner and sends an order whenever its window is open.
     */
    private final class Holder {
        private final String name;
        private final long wallOffsetMillis;
        private long suspendedMillis;
        private long suspendedUntilMillis;
        private long cutUntilMillis;
        private long token;
        private long nextRenewalMillis;
        private OrderWindow window = OrderWindow.UNLIMITED;
        private int seenEndedClaims = -1;
        private long ownerlessMillis;

        Holder(String name) {
            this.name = name;
            this.wallOffsetMillis = random.nextInt(100_000);
        }

        private Moment now() {
            return new Moment(nowMillis - suspendedMillis, nowMillis + wallOffsetMillis);
        }

        void step() {
            if (nowMillis < suspendedUntilMillis) {
                suspendedMillis += STEP_MILLIS;
                return;
            }
            if (random.nextDouble() < FAULT_CHANCE) {
                suspendedUntilMillis = nowMillis + random.nextInt(MAX_FAULT_MILLIS);
                return;
            }
            if (random.nextDouble() < FAULT_CHANCE) {
                cutUntilMillis = nowMillis + random.nextInt(MAX_FAULT_MILLIS);
            }
            if (nowMillis >= cutUntilMillis) {
                callStore();
            }
            sendOrder();
        }

        private void callStore() {
            if (claimOwner == null && seenEndedClaims != endedClaims) {
                seenEndedClaims = endedClaims;
                ownerlessMillis = now().steadyMillis();
            }
            if (claimOwner == null && random.nextInt((int) (RECLAIM_MILLIS / STEP_MILLIS)) == 0) {
                lastRevision++;
                claimOwner = this;
                claimToken = lastRevision;
                claimExpiryMillis = nowMillis + LEASE_MILLIS;
                token = lastRevision;
                window = limited ? OrderWindow.ofClaim(now()) : OrderWindow.UNLIMITED;
                window = ownersWatchClaims ? window.withHandoverSince(ownerlessMillis) : window;
            }
            if (claimOwner == this && nowMillis >= nextRenewalMillis) {
                claimExpiryMillis = nowMillis + LEASE_MILLIS;
                nextRenewalMillis = nowMillis + RENEWAL_MILLIS;
            }
            if (token != 0 && window.isConfirmationDue(now())) {
                confirm();
            }
        }

        private void confirm() {
            if (claimToken == token) {
                window = window.withConfirmation(now());
            } else {
                token = 0;
            }
        }

        private void sendOrder() {
            if (token != 0 && window.includes(now()) && random.nextInt(5) == 0) {
                // The call is abandoned after its timeout, so it arrives before that or not at all.
                long delayMillis = random.nextInt((int) OrderWindow.MAX_CALL_MILLIS);
                ordersInNetwork.add(new Order(token, nowMillis + delayMillis));
            }
        }

        @Override
        public String toString() {
            return name;
        }
    }
}
