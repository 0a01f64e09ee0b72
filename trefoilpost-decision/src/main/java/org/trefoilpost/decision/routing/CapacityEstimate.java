package org.trefoilpost.decision.routing;

/**
 * The usable capacity of a worker, estimated from its rejections.
 *
 * <p>A rejection limits the slots to the current occupancy for a short time, which doubles with each further rejection
 * in a row, and widens a safety margin for attempts of peers that are not in their reports. Answers narrow the margin,
 * so that it settles where the share of rejected attempts is the target share.
 */
final class CapacityEstimate {
    /** The most doublings of the duration of a slot limit. */
    private static final int MAX_DOUBLINGS = 6;

    private final RouterSettings settings;
    private double marginSlots;
    private int consecutiveRejections;
    private int slotLimit = Integer.MAX_VALUE;
    private long limitedUntilMillis = Long.MIN_VALUE;

    CapacityEstimate(RouterSettings settings) {
        this.settings = settings;
    }

    /** Returns the slots to leave free in addition to those that peers report as used. */
    double marginSlots() {
        return marginSlots;
    }

    /** Returns the most slots that the worker may be assumed to have, the largest integer while there is no limit. */
    int slotLimit() {
        return slotLimit;
    }

    void recordAnswer() {
        consecutiveRejections = 0;
        marginSlots = Math.max(0, marginSlots - settings.marginStepSlots() * settings.targetRejectionShare());
    }

    /** Records a rejection at an occupancy and returns the time in milliseconds at which the slot limit ends. */
    long recordRejection(int occupancy, long nowMillis) {
        long durationMillis = settings.firstSlotLimitMillis() << Math.min(MAX_DOUBLINGS, consecutiveRejections);
        consecutiveRejections++;
        marginSlots = Math.min(settings.maxMarginSlots(), marginSlots + settings.marginStepSlots());
        slotLimit = occupancy;
        limitedUntilMillis = nowMillis + durationMillis;
        return limitedUntilMillis;
    }

    void expireSlotLimit(long nowMillis) {
        if (nowMillis >= limitedUntilMillis) {
            slotLimit = Integer.MAX_VALUE;
        }
    }
}
