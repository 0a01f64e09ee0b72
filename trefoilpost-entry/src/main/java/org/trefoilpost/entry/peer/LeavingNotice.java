package org.trefoilpost.entry.peer;

import org.trefoilpost.model.WorkerId;

/**
 * Passes on a worker's own announcement that it is leaving the fleet.
 */
public final class LeavingNotice implements PeerMessage {
    private final WorkerId worker;
    private final long incarnation;

    private LeavingNotice(WorkerId worker, long incarnation) {
        this.worker = worker;
        this.incarnation = incarnation;
    }

    /**
     * Creates the message.
     *
     * @param worker  the worker, not null
     * @param incarnation  the incarnation of the worker that is leaving
     * @return the message, not null
     */
    public static LeavingNotice of(WorkerId worker, long incarnation) {
        return new LeavingNotice(worker, incarnation);
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the incarnation of the worker that is leaving.
     *
     * @return the incarnation of the worker that is leaving
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "LeavingNotice(" + worker + ", " + incarnation + ")";
    }
}
