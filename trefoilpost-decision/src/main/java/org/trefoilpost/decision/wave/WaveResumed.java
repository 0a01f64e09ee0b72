package org.trefoilpost.decision.wave;

/**
 * An executor took up the plan, or read its state again; all acts under way are due.
 */
public final class WaveResumed implements WaveEvent {
    /** The event. */
    public static final WaveResumed INSTANCE = new WaveResumed();

    private WaveResumed() {}

    /**
     * Returns the type.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "WaveResumed";
    }
}
