package org.trefoilpost.decision.plan;

import java.util.Objects;
import org.trefoilpost.model.WorkerId;

/**
 * An intent to bring a worker that is out of service, drained or set aside after a failed step, back into service.
 */
public final class ReleaseIntent implements Intent {
    private final WorkerId worker;

    private ReleaseIntent(WorkerId worker) {
        this.worker = Objects.requireNonNull(worker, "worker");
    }

    /**
     * Returns an intent to release a worker.
     *
     * @param worker  the worker to release, not null
     * @return the intent, not null
     */
    public static ReleaseIntent of(WorkerId worker) {
        return new ReleaseIntent(worker);
    }

    @Override
    public String kind() {
        return "release";
    }

    /**
     * Returns the worker to release.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ReleaseIntent other && other.worker.equals(worker);
    }

    @Override
    public int hashCode() {
        return Objects.hash(worker);
    }

    /**
     * Returns the kind and the values of the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind() + " " + worker;
    }
}
