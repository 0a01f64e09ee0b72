package org.trefoilpost.decision.job;

import java.util.Objects;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;

/**
 * A worker as the placement of jobs sees it.
 */
public final class JobWorker {
    private final WorkerId id;
    private final long incarnation;
    private final Resources capacity;
    private final boolean usable;

    private JobWorker(WorkerId id, long incarnation, Resources capacity, boolean usable) {
        this.id = Objects.requireNonNull(id, "id");
        this.incarnation = incarnation;
        this.capacity = Objects.requireNonNull(capacity, "capacity");
        this.usable = usable;
    }

    /**
     * Obtains the value.
     *
     * @param id  the name of the worker, not null
     * @param incarnation  the incarnation
     * @param capacity  the resources for jobs, not null
     * @param usable  whether the worker takes new tasks: it is live and not cordoned
     * @return the value, not null
     */
    public static JobWorker of(WorkerId id, long incarnation, Resources capacity, boolean usable) {
        return new JobWorker(id, incarnation, capacity, usable);
    }

    /**
     * Returns the name of the worker.
     *
     * @return the name of the worker, not null
     */
    public WorkerId id() {
        return id;
    }

    /**
     * Returns the incarnation.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the resources for jobs.
     *
     * @return the resources for jobs, not null
     */
    public Resources capacity() {
        return capacity;
    }

    /**
     * Returns whether the worker takes new tasks: it is live and not cordoned.
     *
     * @return true if the worker takes new tasks: it is live and not cordoned
     */
    public boolean isUsable() {
        return usable;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof JobWorker other
                && other.id.equals(id)
                && other.incarnation == incarnation
                && other.capacity.equals(capacity)
                && other.usable == usable;
    }

    @Override
    public int hashCode() {
        return Objects.hash(id, incarnation, capacity, usable);
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobWorker " + id + " " + incarnation + " " + capacity + " " + usable;
    }
}
