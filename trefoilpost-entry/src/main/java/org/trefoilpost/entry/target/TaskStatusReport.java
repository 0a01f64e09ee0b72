package org.trefoilpost.entry.target;

import java.util.Objects;

/**
 * What a worker tells of a task.
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
     * @param job  the job, not null
     * @param epoch  the epoch of the task's lease
     * @param state  the task's state as the worker writes it, not null
     * @return the builder, not null
     */
    public static Builder builder(String job, long epoch, String state) {
        return new Builder(job, epoch, state);
    }

    /**
     * Returns the job.
     *
     * @return the job, not null
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
     * Returns whether the task runs.
     *
     * @return true if it does
     */
    public boolean isRunning() {
        return state.equals(RUNNING);
    }

    /**
     * Returns the cores that the task was last seen to use.
     *
     * @return the cores, not negative
     */
    public double coresUsed() {
        return coresUsed;
    }

    /**
     * Returns the memory that the task was last seen to use.
     *
     * @return the memory in MiB, not negative
     */
    public int memoryMbUsed() {
        return memoryMbUsed;
    }

    /**
     * Returns how far the task has come.
     *
     * @return the share that is done, from 0 to 1
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
     * Builder of statuses.
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
         * Sets what the task uses.
         *
         * @param cores  the cores, not negative
         * @param memoryMb  the memory in MiB, not negative
         * @return this builder, not null
         */
        public Builder usage(double cores, int memoryMb) {
            this.coresUsed = cores;
            this.memoryMbUsed = memoryMb;
            return this;
        }

        /**
         * Sets how far the task has come.
         *
         * @param share  the share that is done, from 0 to 1
         * @return this builder, not null
         */
        public Builder progress(double share) {
            this.progress = share;
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
