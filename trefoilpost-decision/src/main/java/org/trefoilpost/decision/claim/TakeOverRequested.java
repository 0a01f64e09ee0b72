package org.trefoilpost.decision.claim;

/**
 * Asks this entry to take the shard over.
 */
public final class TakeOverRequested implements ClaimEvent {
    private TakeOverRequested() {}

    /**
     * Obtains an instance.
     *
     * @return the instance, not null
     */
    public static TakeOverRequested of() {
        return new TakeOverRequested();
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "TakeOverRequested(" + ")";
    }
}
