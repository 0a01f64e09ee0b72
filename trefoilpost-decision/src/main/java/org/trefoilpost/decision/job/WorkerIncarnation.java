package org.trefoilpost.decision.job;

/**
 * An incarnation of a worker, from its start to its end. A worker that restarts under its identifier begins a new one.
 *
 * @param born  when the worker started, in milliseconds since 1970, 0 if the platform does not send it
 */
public record WorkerIncarnation(long born) {
    /** The incarnation of a worker whose platform does not send when it started. */
    public static final WorkerIncarnation UNKNOWN = new WorkerIncarnation(0);

    /**
     * Returns whether the platform sends when the worker started.
     *
     * @return false if the start is not known
     */
    public boolean isKnown() {
        return born != UNKNOWN.born;
    }

    /**
     * Returns whether this incarnation is certain to have begun after the end of another one of the same worker.
     *
     * @param other  the other incarnation, not null
     * @return false if either is unknown
     */
    public boolean isAfter(WorkerIncarnation other) {
        return isKnown() && other.isKnown() && born > other.born;
    }
}
