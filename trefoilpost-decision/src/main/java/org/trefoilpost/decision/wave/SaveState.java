package org.trefoilpost.decision.wave;

import java.util.List;
import java.util.Objects;
import org.trefoilpost.decision.event.FleetEvent;

/**
 * Requests that a new state is written by a compare-and-swap on the state it was derived from.
 *
 * <p>On success the executor records the events and reports {@link WaveSaved}; on a conflict it reads the state again and
 * reports {@link WaveResumed}.
 */
public final class SaveState implements WaveAction {
    private final WaveState state;
    private final List<FleetEvent> events;

    private SaveState(WaveState state, List<FleetEvent> events) {
        this.state = Objects.requireNonNull(state, "state");
        this.events = List.copyOf(events);
    }

    /**
     * Obtains the action.
     *
     * @param state  the state to write, not null
     * @param events  the events to record once the state is written, not null, may be empty
     * @return the action, not null
     */
    public static SaveState of(WaveState state, List<FleetEvent> events) {
        return new SaveState(state, events);
    }

    /**
     * Returns the state to write.
     *
     * @return the state, not null
     */
    public WaveState state() {
        return state;
    }

    /**
     * Returns the events to record once the state is written.
     *
     * @return the events, unmodifiable, not null, may be empty
     */
    public List<FleetEvent> events() {
        return events;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "SaveState" + " " + state + " " + events;
    }
}
