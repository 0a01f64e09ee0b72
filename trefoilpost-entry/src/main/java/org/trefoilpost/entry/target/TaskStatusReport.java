package org.trefoilpost.entry.target;

import java.util.Objects;

/**
 * The status of a task as its worker reports it.
 */
public final class TaskStatusReport {
    private static final String RUNNING = "running";

    private final String job;
    private final long epoch;
    private final String state;
    private final double coresUsed;
    private final int memoryMbUsed;
    private final double progress;

    private TaskStatusReport(Builder builder) {
        this.job = Objects.requireNonNull(builder.job, "job");
        this.epoch = builder.epoch;
        this.state = Objects.requireNonNull(builder.state, "state");
        this.coresUsed = builder.coresUsed;
        this.memoryMbUsed = builder.memoryMbUsed;
        this.progress = builder.progress;
    }

    /**
     * Returns a builder.
     *
     * @param job  the identifier of the task's job, not null
     * @param epoch  the epoch of the task's lease
     * @param state  the task's state in lower case, as the worker writes it, not null
     * @return the builder, not null
     */
    public static Builder builder(String job, long epoch, String state) {
        return new Builder(job, epoch, state);
    }

    /**
     * Returns the identifier of the task's job.
     *
     * @return the identifier, not null
     */
    public String job() {
        return job;
    }

    /**
     * Returns the epoch of the task's lease.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the task's state: running, done, failed or lapsed.
     *
     * @return the state, not null
     */
    public String state() {
        return state;
    }

    /**
     * Returns whether the task is running.
     *
     * @return true if the state is running
     */
    public boolean isRunning() {
        return state.equals(RUNNING);
    }

    /**
     * Returns the task's latest measured CPU usage.
     *
     * @return the usage in cores, not negative
     */
    public double coresUsed() {
        return coresUsed;
    }

    /**
     * Returns the task's latest measured memory usage.
     *
     * @return the usage in MiB, not negative
     */
    public int memoryMbUsed() {
        return memoryMbUsed;
    }

    /**
     * Returns the task's progress.
     *
     * @return the completed fraction, from 0 to 1
     */
    public double progress() {
        return progress;
    }

    /**
     * Returns the job, the epoch and the state.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return job + "#" + epoch + " " + state;
    }

    /**
     * Builder of task status reports.
     */
    public static final class Builder {
        private final String job;
        private final long epoch;
        private final String state;
        private double coresUsed;
        private int memoryMbUsed;
        private double progress;

        private Builder(String job, long epoch, String state) {
            this.job = job;
            this.epoch = epoch;
            this.state = state;
        }

        /**
         * Sets the task's resource usage; default 0.
         *
         * @param cores  the CPU usage in cores, not negative
         * @param memoryMb  the memory usage in MiB, not negative
         * @return this builder, not null
         */
        public Builder usage(double cores, int memoryMb) {
            this.coresUsed = cores;
            this.memoryMbUsed = memoryMb;
            return this;
        }

        /**
         * Sets the task's progress; default 0.
         *
         * @param fraction  the completed fraction, from 0 to 1
         * @return this builder, not null
         */
        public Builder progress(double fraction) {
            this.progress = fraction;
            return this;
        }

        /**
         * Builds the status.
         *
         * @return the status, not null
         */
        public TaskStatusReport build() {
            return new TaskStatusReport(this);
        }
    }
}
