package org.trefoilpost.model.worker;

import java.util.Locale;
import java.util.Optional;

/**
 * The state in which the platform's list shows a worker.
 */
public enum WorkerState {
    /** The worker runs and takes work. */
    LIVE,
    /** The worker takes no new work and will go. */
    LEAVING,
    /** The worker is no longer there. */
    GONE;

    /**
     * Finds the state with a code.
     *
     * @param code  the code, such as {@code live}, not null
     * @return the state, not null, empty if no state has the code
     */
    public static Optional<WorkerState> ofCode(String code) {
        for (WorkerState state : values()) {
            if (state.code().equals(code)) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the code of this state in documents.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
