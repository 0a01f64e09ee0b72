package org.trefoilpost.decision.wave;

/**
 * Reports that an executor has taken over the plan or has read its state again. The actions of all unfinished phases are
 * due.
 */
public final class WaveResumed implements WaveEvent {
    /** The only instance. */
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
