package org.trefoilpost.decision.job.emulator;

/**
 * The time of an emulation, in which events run one after the other.
 */
public interface EmulatorTime {
    /**
     * Returns the present time on a steady clock.
     *
     * @return the time in milliseconds
     */
    long nowMillis();

    /**
     * Runs an event later.
     *
     * @param millis  the time until then in milliseconds; at once if it is negative
     * @param event  the event, not null
     */
    void schedule(long millis, Runnable event);
}
