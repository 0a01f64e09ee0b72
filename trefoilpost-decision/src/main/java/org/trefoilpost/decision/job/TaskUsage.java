package org.trefoilpost.decision.job;

/**
 * What a running task uses, as its worker reports it with a lag.
 */
public final class TaskUsage {
    private final double cores;
    private final double memoryMb;
    private final double progress;

    private TaskUsage(double cores, double memoryMb, double progress) {
        this.cores = cores;
        this.memoryMb = memoryMb;
        this.progress = progress;
    }

    /**
     * Obtains the value.
     *
     * @param cores  the cores in use
     * @param memoryMb  the memory in use, in MiB
     * @param progress  the progress, from 0 to 1
     * @return the value, not null
     */
    public static TaskUsage of(double cores, double memoryMb, double progress) {
        return new TaskUsage(cores, memoryMb, progress);
    }

    /**
     * Returns the cores in use.
     *
     * @return the cores in use
     */
    public double cores() {
        return cores;
    }

    /**
     * Returns the memory in use, in MiB.
     *
     * @return the memory in use, in MiB
     */
    public double memoryMb() {
        return memoryMb;
    }

    /**
     * Returns the progress, from 0 to 1.
     *
     * @return the progress, from 0 to 1
     */
    public double progress() {
        return progress;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "TaskUsage " + cores + " " + memoryMb + " " + progress;
    }
}
