package org.trefoilpost.decision.claim;

/**
 * Reports that the timer of the last {@link SetTimer} fired.
 */
public final class TimerFired implements ClaimEvent {
    private TimerFired() {}

    /**
     * Obtains an instance.
     *
     * @return the instance, not null
     */
    public static TimerFired of() {
        return new TimerFired();
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "TimerFired(" + ")";
    }
}
