package org.trefoilpost.entry.target;

import java.util.List;
import java.util.Objects;

/**
 * The status of a worker as the worker itself reports it.
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
     * Obtains a status report.
     *
     * @param incarnation  the worker's incarnation
     * @param state  the worker's state, not null
     * @param inFlight  the number of requests in flight at the worker, not negative
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
     * Returns the number of requests in flight at the worker.
     *
     * @return the number, not negative
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the status of each of the worker's tasks, including tasks that have ended.
     *
     * @return the unmodifiable list, not null
     */
    public List<TaskStatusReport> tasks() {
        return tasks;
    }

    /**
     * Returns whether the worker is idle.
     *
     * @return true if it has no request in flight and no running task
     */
    public boolean isIdle() {
        return inFlight == 0 && tasks.stream().noneMatch(TaskStatusReport::isRunning);
    }

    /**
     * Returns the incarnation, the state and the number of requests in flight.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "#" + incarnation + " " + state + ", " + inFlight + " in flight";
    }

    /**
     * States that a worker reports of itself.
     */
    public enum State {
        /** The worker accepts work. */
        LIVE,
        /** The worker accepts no new work and is about to go out of service. */
        LEAVING,
        /** The worker is stopping gracefully. */
        STOPPING,
        /** The worker has stopped and can be rebooted. */
        STOPPED,
        /** The worker is rebooting. */
        REBOOTING
    }
}
