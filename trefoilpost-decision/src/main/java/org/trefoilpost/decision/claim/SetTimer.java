package org.trefoilpost.decision.claim;

/**
 * Asks the entry to set the timer of the shard. It replaces an earlier timer.
 */
public final class SetTimer implements ClaimAction {
    private final long atMillis;

    private SetTimer(long atMillis) {
        this.atMillis = atMillis;
    }

    /**
     * Obtains an instance.
     *
     * @param atMillis  the time at which the timer fires, in milliseconds since 1970
     * @return the instance, not null
     */
    public static SetTimer of(long atMillis) {
        return new SetTimer(atMillis);
    }

    /**
     * Returns the time at which the timer fires.
     *
     * @return the time in milliseconds since 1970
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
