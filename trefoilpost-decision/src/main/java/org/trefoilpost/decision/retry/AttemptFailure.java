package org.trefoilpost.decision.retry;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.worker.Worker;

/**
 * A failed attempt: where it failed, and whether the request may have run.
 */
public final class AttemptFailure {
    private final Worker worker;
    private final UncertaintyReason uncertainty;

    private AttemptFailure(Worker worker, UncertaintyReason uncertainty) {
        this.worker = Objects.requireNonNull(worker, "worker");
        this.uncertainty = uncertainty;
    }

    /**
     * Obtains the failure of an attempt that never started: no byte was written, or the worker said so.
     *
     * @param worker  the worker, not null
     * @return the failure, not null
     */
    public static AttemptFailure notStarted(Worker worker) {
        return new AttemptFailure(worker, null);
    }

    /**
     * Obtains the failure of an attempt after which the request may have run.
     *
     * @param worker  the worker, not null
     * @param reason  the reason of the uncertainty, not null
     * @return the failure, not null
     */
    public static AttemptFailure mayHaveRun(Worker worker, UncertaintyReason reason) {
        return new AttemptFailure(worker, Objects.requireNonNull(reason, "reason"));
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public Worker worker() {
        return worker;
    }

    /**
     * Returns the reason of the uncertainty.
     *
     * @return the reason, not null, empty if the attempt never started
     */
    public Optional<UncertaintyReason> uncertainty() {
        return Optional.ofNullable(uncertainty);
    }
}
