package org.trefoilpost.entry.request;

import org.trefoilpost.entry.runtime.MillisClock;

/**
 * Something that the requests' duty does on its own thread.
 */
@FunctionalInterface
interface RequestEvent {
    /**
     * Carries out the event.
     *
     * @param desk  the state that the duty's thread owns, not null
     * @param nowMillis  the present time in milliseconds since 1970, as {@link MillisClock} gives it
     */
    void apply(RequestDispatcher desk, long nowMillis);
}
