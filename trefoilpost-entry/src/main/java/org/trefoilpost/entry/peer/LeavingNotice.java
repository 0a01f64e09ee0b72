package org.trefoilpost.entry.peer;

import org.trefoilpost.model.WorkerId;

/**
 * Tells that a worker itself announced that it is leaving.
 */
public final class LeavingNotice implements PeerMessage {
    private final WorkerId worker;
    private final long incarnation;

    private LeavingNotice(WorkerId worker, long incarnation) {
        this.worker = worker;
        this.incarnation = incarnation;
    }

    /**
     * Obtains a message.
     *
     * @param worker  the worker, not null
     * @param incarnation  the incarnation that leaves
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
     * Returns the incarnation that leaves.
     *
     * @return the incarnation that leaves
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "LeavingNotice(" + worker + ", " + incarnation + ")";
    }
}
