package org.trefoilpost.decision.inventory;

import java.util.Objects;
import org.trefoilpost.model.worker.WorkerState;

/**
 * A worker's health, from the platform's list of workers, the worker's lease and the entry's own observation.
 *
 * <p>A worker is usable only if all three sources show it as healthy.
 */
public final class WorkerHealth {
    /** The health of a worker that all three sources show as healthy. */
    public static final WorkerHealth HEALTHY = new WorkerHealth(WorkerState.LIVE, true, true);
    /** The health of a worker that the platform's list doesn't hold. */
    public static final WorkerHealth MISSING = new WorkerHealth(WorkerState.GONE, false, false);

    private final WorkerState listedState;
    private final boolean leaseHeld;
    private final boolean responsive;

    private WorkerHealth(WorkerState listedState, boolean leaseHeld, boolean responsive) {
        this.listedState = listedState;
        this.leaseHeld = leaseHeld;
        this.responsive = responsive;
    }

    /**
     * Obtains the health from the three sources.
     *
     * @param listedState  the worker's state in the platform's list, not null
     * @param leaseHeld  whether the worker's lease is held
     * @param responsive  whether the worker answers and completes the attempts it starts, as observed by this entry
     * @return the health, not null
     */
    public static WorkerHealth of(WorkerState listedState, boolean leaseHeld, boolean responsive) {
        return new WorkerHealth(Objects.requireNonNull(listedState, "listed"), leaseHeld, responsive);
    }

    /**
     * Returns whether the worker can accept work.
     *
     * @return true if all three sources show the worker as healthy
     */
    public boolean usable() {
        return listedState == WorkerState.LIVE && leaseHeld && responsive;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof WorkerHealth other
                && other.listedState == listedState
                && other.leaseHeld == leaseHeld
                && other.responsive == responsive;
    }

    @Override
    public int hashCode() {
        return Objects.hash(listedState, leaseHeld, responsive);
    }

    /**
     * Returns what each of the three sources shows.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "listed " + listedState.code() + ", lease " + (leaseHeld ? "held" : "lapsed") + ", "
                + (responsive ? "answering" : "failing");
    }
}
