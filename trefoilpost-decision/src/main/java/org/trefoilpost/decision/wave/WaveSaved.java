package org.trefoilpost.decision.wave;

import java.util.Objects;

/**
 * Reports that the state has been written. The actions of the changed steps are due.
 */
public final class WaveSaved implements WaveEvent {
    private final WaveState previous;

    private WaveSaved(WaveState previous) {
        this.previous = Objects.requireNonNull(previous, "previous");
    }

    /**
     * Obtains the event.
     *
     * @param previous  the state before the change, not null
     * @return the event, not null
     */
    public static WaveSaved of(WaveState previous) {
        return new WaveSaved(previous);
    }

    /**
     * Returns the state before the change.
     *
     * @return the state before the change, not null
     */
    public WaveState previous() {
        return previous;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "WaveSaved" + " " + previous;
    }
}
