package org.trefoilpost.decision.claim;

/**
 * This entry should give the shard up in an orderly way.
 */
public final class HandOverRequested implements ClaimEvent {
    private HandOverRequested() {}

    /**
     * Obtains an instance.
     *
     * @return the instance, not null
     */
    public static HandOverRequested of() {
        return new HandOverRequested();
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HandOverRequested(" + ")";
    }
}
