package org.trefoilpost.decision.inventory;

import java.util.Objects;
import org.trefoilpost.model.worker.WorkerState;

/**
 * What is known of a worker's health from the platform's list, its lease and the entry's own observation.
 *
 * <p>The worst of the three counts: a worker is usable only if none speaks against it.
 */
public final class WorkerHealth {
    /** The health of a worker that nothing is known against. */
    public static final WorkerHealth HEALTHY = new WorkerHealth(WorkerState.LIVE, true, true);
    /** The health of a worker that the platform's list doesn't show. */
    public static final WorkerHealth MISSING = new WorkerHealth(WorkerState.GONE, false, false);

    private final WorkerState listedState;
    private final boolean leaseHeld;
    private final boolean responsive;

    private WorkerHealth(WorkerState listed, boolean leaseHeld, boolean answering) {
        this.listedState = listed;
        this.leaseHeld = leaseHeld;
        this.responsive = answering;
    }

    /**
     * Obtains the health from its three sources.
     *
     * @param listed  the state in the platform's list, not null
     * @param leaseHeld  whether the worker's lease is held
     * @param answering  whether the worker answers and finishes what it starts, as far as this entry saw
     * @return the health, not null
     */
    public static WorkerHealth of(WorkerState listed, boolean leaseHeld, boolean answering) {
        return new WorkerHealth(Objects.requireNonNull(listed, "listed"), leaseHeld, answering);
    }

    /**
     * Returns whether the worker can take work.
     *
     * @return true if all three sources say so
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
     * Returns the three sources.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "listed " + listedState.code() + ", lease " + (leaseHeld ? "held" : "lapsed") + ", "
                + (responsive ? "answering" : "failing");
    }
}
