package org.trefoilpost.decision.claim;

/**
 * Another entry told of an epoch of the shard, so that no lower one may be used.
 */
public final class EpochObserved implements ClaimEvent {
    private final long epoch;

    private EpochObserved(long epoch) {
        this.epoch = epoch;
    }

    /**
     * Obtains an instance.
     *
     * @param epoch  the epoch
     * @return the instance, not null
     */
    public static EpochObserved of(long epoch) {
        return new EpochObserved(epoch);
    }

    /**
     * Returns the epoch.
     *
     * @return the epoch
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
