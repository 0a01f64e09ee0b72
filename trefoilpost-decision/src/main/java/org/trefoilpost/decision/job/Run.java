package org.trefoilpost.decision.job;

/**
 * One run of a task on a worker, as far as it is known. A run holds its room until its end is certain.
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
    /** True for a run of a job that is not known any more, whose size is therefore not known either. */
    boolean sizeUnknown;

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
     * Returns whether the run counts towards its task's work, rather than being on its way out.
     */
    boolean isActive() {
        return phase == RunPhase.STARTING || phase == RunPhase.RUNNING;
    }

    /**
     * Returns whether the task is known to be fully at work.
     */
    boolean isReady() {
        return phase == RunPhase.RUNNING && percent >= PoolWorker.FULL_PACE;
    }

    ResourceAmount reserved() {
        return task.step.spec.reservedDemand();
    }
}
