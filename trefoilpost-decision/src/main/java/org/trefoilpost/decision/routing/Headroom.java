package org.trefoilpost.decision.routing;

/**
 * How far a worker's slots are to be trusted, as learned from its rejections.
 *
 * <p>A rejection holds the slots at the present occupancy for a moment, longer when the worker goes on rejecting, and
 * widens a margin that covers what the peers' counts do not tell. Answers narrow the margin, so that it settles where
 * the share of rejections is the one aimed at.
 */
final class Headroom {
    private static final int MAX_DOUBLINGS = 6;

    private final RouterSettings settings;
    private double margin;
    private int rejectionsInRow;
    private int heldSlots = Integer.MAX_VALUE;
    private long heldUntilMillis = Long.MIN_VALUE;

    Headroom(RouterSettings settings) {
        this.settings = settings;
    }

    /** Returns the slots to be left free beside the peers' counts. */
    double margin() {
        return margin;
    }

    /** Returns the most slots that the worker is taken to have at present. */
    int heldSlots() {
        return heldSlots;
    }

    void answered() {
        rejectionsInRow = 0;
        margin = Math.max(0, margin - settings.marginStep() * settings.rejectionShare());
    }

    /** Records a rejection at an occupancy and returns when its hold ends. */
    long rejected(int occupancy, long nowMillis) {
        long hold = settings.rejectionHoldMillis() << Math.min(MAX_DOUBLINGS, rejectionsInRow);
        rejectionsInRow++;
        margin = Math.min(settings.maxMargin(), margin + settings.marginStep());
        heldSlots = occupancy;
        heldUntilMillis = nowMillis + hold;
        return heldUntilMillis;
    }

    void endHold(long nowMillis) {
        if (nowMillis >= heldUntilMillis) {
            heldSlots = Integer.MAX_VALUE;
        }
    }
}
