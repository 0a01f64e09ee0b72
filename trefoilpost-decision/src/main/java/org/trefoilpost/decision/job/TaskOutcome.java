package org.trefoilpost.decision.job;

import java.util.Locale;

/**
 * What a call about a task found.
 */
public enum TaskOutcome {
    /** The task runs. */
    RUNNING,
    /** The task has finished. */
    DONE,
    /** The task has failed. */
    FAILED,
    /** The task has ended because its lease lapsed. */
    LAPSED,
    /** The worker rejected the start. */
    NOT_STARTED,
    /** The epoch is not the present one, or a call has ended its task. */
    STALE,
    /** The worker does not know the task. */
    ABSENT,
    /** The task has saved its progress and has ended. */
    CHECKPOINTED,
    /** The task has been stopped. */
    STOPPED,
    /** No answer came; the call may still take effect. */
    UNREACHABLE;
    /**
     * Returns the code in documents and answers.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
