package org.trefoilpost.decision.job;

/**
 * A run of a task on a worker. A run keeps its resources reserved until its end is certain.
 */
final class Run {
    final JobTaskState task;
    final int number;
    final PoolWorker worker;
    RunPhase phase;
    long startedMillis;
    long confirmedMillis;
    long stopSentMillis = Long.MIN_VALUE / 2;
    boolean stopInFlight;
    boolean stopAnswered;
    long stopAnsweredMillis;
    String checkpoint = "";
    int percent;
    long progressMillis;
    int pacePercent = PoolWorker.FULL_PACE;
    long load;
    boolean wanted = true;
    /** True if the job of the run is no longer known, and with it the resources of the run. */
    boolean sizeUnknown;
    /** True if an earlier owner of the pool started the run. */
    boolean adopted;

    Run(JobTaskState task, int number, PoolWorker worker, RunPhase phase, long nowMillis) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.phase = phase;
        this.startedMillis = nowMillis;
        this.confirmedMillis = nowMillis;
        this.progressMillis = nowMillis;
    }

    /**
     * Returns whether the run is starting or running, rather than unconfirmed or being stopped.
     */
    boolean isActive() {
        return phase == RunPhase.STARTING || phase == RunPhase.RUNNING;
    }

    /**
     * Returns whether the run is known to be fully ready.
     */
    boolean isReady() {
        return phase == RunPhase.RUNNING && percent >= PoolWorker.FULL_PACE;
    }

    ResourceAmount reserved() {
        return task.step.spec.reservedDemand();
    }
}
