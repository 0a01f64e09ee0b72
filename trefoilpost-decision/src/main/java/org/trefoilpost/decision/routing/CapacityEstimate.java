package org.trefoilpost.decision.routing;

/**
 * How far a worker's slots are to be trusted, as learned from its rejections.
 *
 * <p>A rejection holds the slots at the present occupancy for a moment, longer when the worker goes on rejecting, and
 * widens a margin that covers what the peers' counts do not tell. Answers narrow the margin, so that it settles where
 * the share of rejections is the one aimed at.
 */
final class CapacityEstimate {
    private static final int MAX_DOUBLINGS = 6;

    private final RouterSettings settings;
    private double marginSlots;
    private int consecutiveRejections;
    private int slotLimit = Integer.MAX_VALUE;
    private long limitedUntilMillis = Long.MIN_VALUE;

    CapacityEstimate(RouterSettings settings) {
        this.settings = settings;
    }

    /** Returns the slots to be left free beside the peers' counts. */
    double marginSlots() {
        return marginSlots;
    }

    /** Returns the most slots that the worker is taken to have at present. */
    int slotLimit() {
        return slotLimit;
    }

    void recordAnswer() {
        consecutiveRejections = 0;
        marginSlots = Math.max(0, marginSlots - settings.marginStepSlots() * settings.targetRejectionShare());
    }

    /** Records a rejection at an occupancy and returns when its hold ends. */
    long recordRejection(int occupancy, long nowMillis) {
        long hold = settings.firstSlotLimitMillis() << Math.min(MAX_DOUBLINGS, consecutiveRejections);
        consecutiveRejections++;
        marginSlots = Math.min(settings.maxMarginSlots(), marginSlots + settings.marginStepSlots());
        slotLimit = occupancy;
        limitedUntilMillis = nowMillis + hold;
        return limitedUntilMillis;
    }

    void expireSlotLimit(long nowMillis) {
        if (nowMillis >= limitedUntilMillis) {
            slotLimit = Integer.MAX_VALUE;
        }
    }
}
