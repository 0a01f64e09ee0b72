package org.trefoilpost.decision.claim;

/**
 * Reports that the journal is older than the state that this entry knows, as after a restore of the store from a
 * backup. Claims of other entries may be lost.
 */
public final class StoreRestored implements ClaimAction {
    private final long foundEpoch;
    private final long knownEpoch;

    private StoreRestored(long foundEpoch, long knownEpoch) {
        this.foundEpoch = foundEpoch;
        this.knownEpoch = knownEpoch;
    }

    /**
     * Obtains an instance.
     *
     * @param foundEpoch  the epoch found in the journal, 0 if there is none
     * @param knownEpoch  the highest epoch that this entry knows
     * @return the instance, not null
     */
    public static StoreRestored of(long foundEpoch, long knownEpoch) {
        return new StoreRestored(foundEpoch, knownEpoch);
    }

    /**
     * Returns the epoch found in the journal, 0 if there is none.
     *
     * @return the epoch found in the journal
     */
    public long foundEpoch() {
        return foundEpoch;
    }

    /**
     * Returns the highest epoch that this entry knows.
     *
     * @return the highest epoch that this entry knows
     */
    public long knownEpoch() {
        return knownEpoch;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "StoreRestored(" + foundEpoch + ", " + knownEpoch + ")";
    }
}
