package org.trefoilpost.entry.request;

import org.trefoilpost.entry.runtime.MillisClock;

/**
 * An event that the request service handles on its thread.
 */
@FunctionalInterface
interface RequestEvent {
    /**
     * Handles the event.
     *
     * @param dispatcher  the dispatcher, which is confined to the service thread, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch, as {@link MillisClock} gives it
     */
    void apply(RequestDispatcher dispatcher, long nowMillis);
}
