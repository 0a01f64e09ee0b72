package org.trefoilpost.decision.claim;

/**
 * Reports an epoch of the shard that another entry announced. This entry uses only higher epochs from then on.
 */
public final class EpochObserved implements ClaimEvent {
    private final long epoch;

    private EpochObserved(long epoch) {
        this.epoch = epoch;
    }

    /**
     * Obtains an instance.
     *
     * @param epoch  the epoch that the other entry announced
     * @return the instance, not null
     */
    public static EpochObserved of(long epoch) {
        return new EpochObserved(epoch);
    }

    /**
     * Returns the epoch.
     *
     * @return the epoch that the other entry announced
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "EpochObserved(" + epoch + ")";
    }
}
