package org.trefoilpost.decision.claim;

/**
 * Reports that this entry owns the shard and has recovered its claims.
 */
public final class OwnershipGained implements ClaimAction {
    private final long epoch;

    private OwnershipGained(long epoch) {
        this.epoch = epoch;
    }

    /**
     * Obtains an instance.
     *
     * @param epoch  the epoch of the ownership
     * @return the instance, not null
     */
    public static OwnershipGained of(long epoch) {
        return new OwnershipGained(epoch);
    }

    /**
     * Returns the epoch of the ownership.
     *
     * @return the epoch of the ownership
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
        return "OwnershipGained(" + epoch + ")";
    }
}
