package org.trefoilpost.entry.runtime;

/**
 * Handles the events of one service, on the {@link ServiceThread} of that service.
 *
 * @param <E> the type of events
 */
@FunctionalInterface
public interface EventHandler<E> {
    /**
     * Handles an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void handle(E event, long nowMillis);
}
