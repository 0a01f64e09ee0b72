package org.trefoilpost.decision.routing;

import java.util.Objects;
import org.trefoilpost.model.worker.Worker;

/**
 * The worker chosen for an attempt.
 */
public final class WorkerChoice {
    private final Candidate candidate;
    private final Worker worker;
    private final boolean probe;
    private final boolean spilledOver;

    WorkerChoice(Candidate candidate, Worker worker, boolean probe, boolean spilledOver) {
        this.candidate = candidate;
        this.worker = worker;
        this.probe = probe;
        this.spilledOver = spilledOver;
    }

    /**
     * Obtains a choice.
     *
     * @param worker  the worker, not null
     * @param probe  true if the attempt probes an ejected worker
     * @param spilledOver  true if the worker is in another data centre than the entry
     * @return the choice, not null
     */
    public static WorkerChoice of(Worker worker, boolean probe, boolean spilledOver) {
        return new WorkerChoice(null, Objects.requireNonNull(worker, "worker"), probe, spilledOver);
    }

    /** Returns what the router knows of the worker, or null if the choice is not a router's own. */
    Candidate candidate() {
        return candidate;
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
     * Returns whether the attempt probes an ejected worker.
     *
     * @return true for a probe
     */
    public boolean probe() {
        return probe;
    }

    /**
     * Returns whether the worker is in another data centre than the entry.
     *
     * @return true if no worker of the entry's own data centre was free
     */
    public boolean spilledOver() {
        return spilledOver;
    }

    /**
     * Returns the worker and how it was chosen.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return worker + (probe ? " probe" : "") + (spilledOver ? " spilled over" : "");
    }
}
