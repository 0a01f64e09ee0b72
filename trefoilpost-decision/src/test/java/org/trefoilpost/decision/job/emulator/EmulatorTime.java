package org.trefoilpost.decision.job.emulator;

/**
 * The time of an emulation, which runs its events one at a time.
 */
public interface EmulatorTime {
    /**
     * Returns the current time on a steady clock.
     *
     * @return the time in milliseconds
     */
    long nowMillis();

    /**
     * Returns the current time since 1970.
     *
     * @return the time in milliseconds
     */
    long wallMillis();

    /**
     * Schedules an event.
     *
     * @param millis  the delay in milliseconds; a negative value counts as 0
     * @param event  the event, not null
     */
    void schedule(long millis, Runnable event);
}
