package org.trefoilpost.decision.wave;

import java.util.List;
import java.util.Objects;
import org.trefoilpost.decision.event.FleetEvent;

/**
 * Writes the new state by a compare-and-swap on the state it was made from.
 *
 * <p>On success the events are recorded and {@link WaveSaved} is reported; on a conflict the state is read again and
 * {@link WaveResumed} is reported.
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
     * @param events  the events to record once the state is written, not null
     * @return the action, not null
     */
    public static SaveState of(WaveState state, List<FleetEvent> events) {
        return new SaveState(state, events);
    }

    /**
     * Returns the state to write.
     *
     * @return the state to write, not null
     */
    public WaveState state() {
        return state;
    }

    /**
     * Returns the events to record once the state is written.
     *
     * @return the events to record once the state is written, not null
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
