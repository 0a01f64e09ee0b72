package org.trefoilpost.decision.wave;

/**
 * Reports that time has passed. Phases that exceeded their timeout end, and the actions of all unfinished phases are due
 * again.
 *
 * <p>An executor that takes over a plan reports {@link WaveResumed} first, and sends the first tick only after the actions
 * had time to complete.
 */
public final class WaveTick implements WaveEvent {
    /** The only instance. */
    public static final WaveTick INSTANCE = new WaveTick();

    private WaveTick() {}

    /**
     * Returns the type.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "WaveTick";
    }
}
