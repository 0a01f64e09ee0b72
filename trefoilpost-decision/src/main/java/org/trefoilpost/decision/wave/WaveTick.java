package org.trefoilpost.decision.wave;

/**
 * Time has passed: phases past their limit end, and all acts under way are due again.
 *
 * <p>An executor that takes up a plan reports {@link WaveResumed} first and ticks only after the acts had time to be
 * answered.
 */
public final class WaveTick implements WaveEvent {
    /** The event. */
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
