package org.trefoilpost.entry.target;

import java.util.List;
import java.util.Objects;

/**
 * What a worker tells of itself.
 */
public final class WorkerStatusReport {
    private final long incarnation;
    private final State state;
    private final int inFlight;
    private final List<TaskStatusReport> tasks;

    private WorkerStatusReport(long incarnation, State state, int inFlight, List<TaskStatusReport> tasks) {
        this.incarnation = incarnation;
        this.state = state;
        this.inFlight = inFlight;
        this.tasks = tasks;
    }

    /**
     * Obtains a status.
     *
     * @param incarnation  the worker's incarnation
     * @param state  the worker's state, not null
     * @param inFlight  the requests that run, not negative
     * @param tasks  the worker's tasks, not null
     * @return the status, not null
     */
    public static WorkerStatusReport of(long incarnation, State state, int inFlight, List<TaskStatusReport> tasks) {
        return new WorkerStatusReport(
                incarnation, Objects.requireNonNull(state, "state"), inFlight, List.copyOf(tasks));
    }

    /**
     * Returns the worker's incarnation.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the worker's state.
     *
     * @return the state, not null
     */
    public State state() {
        return state;
    }

    /**
     * Returns the requests that run.
     *
     * @return the requests, not negative
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the worker's tasks.
     *
     * @return the unmodifiable tasks, not null
     */
    public List<TaskStatusReport> tasks() {
        return tasks;
    }

    /**
     * Returns whether nothing runs on the worker.
     *
     * @return true if there is neither a request nor a running task
     */
    public boolean isIdle() {
        return inFlight == 0 && tasks.stream().noneMatch(TaskStatusReport::isRunning);
    }

    /**
     * Returns the incarnation, the state and the requests that run.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "#" + incarnation + " " + state + ", " + inFlight + " in flight";
    }

    /**
     * States of a worker as it tells them itself.
     */
    public enum State {
        /** The worker takes work. */
        LIVE,
        /** The worker takes no new work and will go. */
        LEAVING,
        /** The worker stops gracefully. */
        STOPPING,
        /** The worker has stopped and can be rebooted. */
        STOPPED,
        /** The worker reboots. */
        REBOOTING
    }
}
