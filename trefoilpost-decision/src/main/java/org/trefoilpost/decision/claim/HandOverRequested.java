package org.trefoilpost.decision.claim;

/**
 * Asks this entry to release the shard as soon as no write is unresolved, or at once if the store is unavailable.
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
