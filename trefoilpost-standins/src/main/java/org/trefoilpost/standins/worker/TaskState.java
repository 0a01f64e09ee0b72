package org.trefoilpost.standins.worker;

import java.util.Locale;

/**
 * The state of a task, or the way in which it was ended.
 */
enum TaskState {
    /** The task runs. */
    RUNNING,
    /** The task has run to its end. */
    DONE,
    /** The task has failed. */
    FAILED,
    /** The task's lease has lapsed and its worker has noticed. */
    LAPSED,
    /** The task was ended by a checkpoint. */
    CHECKPOINTED,
    /** The task was ended by a call. */
    STOPPED,
    /** The task was ended by a start with a newer epoch. */
    SUPERSEDED,
    /** The task was killed by its worker's reboot. */
    KILLED;

    String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the status of a worker lists tasks in this state.
     */
    boolean isListed() {
        return ordinal() <= LAPSED.ordinal();
    }
}
