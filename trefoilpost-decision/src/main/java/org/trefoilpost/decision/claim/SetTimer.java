package org.trefoilpost.decision.claim;

/**
 * Sets the only timer of the shard, in place of an earlier one.
 */
public final class SetTimer implements ClaimAction {
    private final long atMillis;

    private SetTimer(long atMillis) {
        this.atMillis = atMillis;
    }

    /**
     * Obtains an instance.
     *
     * @param atMillis  the time at which the timer fires
     * @return the instance, not null
     */
    public static SetTimer of(long atMillis) {
        return new SetTimer(atMillis);
    }

    /**
     * Returns the time at which the timer fires.
     *
     * @return the time at which the timer fires
     */
    public long atMillis() {
        return atMillis;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "SetTimer(" + atMillis + ")";
    }
}
