package org.trefoilpost.decision.job;

import java.util.Locale;

/**
 * A call to a worker about a task.
 */
public enum TaskCallKind {
    /** Reads the state of the task without starting it. */
    LOOK,
    /** Starts the task or renews its lease. */
    START,
    /** Saves the progress and ends the task. */
    CHECKPOINT,
    /** Ends the task. */
    STOP;
    /**
     * Returns the code in documents and answers.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
