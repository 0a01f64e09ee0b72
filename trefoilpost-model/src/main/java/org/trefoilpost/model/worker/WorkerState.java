package org.trefoilpost.model.worker;

import java.util.Locale;
import java.util.Optional;

/**
 * The state of a worker in the platform's instance list.
 */
public enum WorkerState {
    /** The worker is running and accepts work. */
    LIVE,
    /** The worker accepts no new work and is about to be removed. */
    LEAVING,
    /** The worker no longer exists. */
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
     * Returns the code of this state in the instance list, such as {@code live}.
     *
     * @return the code in lower case, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
