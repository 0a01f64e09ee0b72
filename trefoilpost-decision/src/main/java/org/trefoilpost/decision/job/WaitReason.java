package org.trefoilpost.decision.job;

/**
 * Why a long-running task does not run, for the log and the metrics.
 */
enum WaitReason {
    /** The worker of its run does not answer; the run may continue there until the worker is found to have ended. */
    WORKER_SILENT("worker-silent"),
    /** The start or the stop of a run has no outcome yet; the task cannot start again before. */
    RUN_UNRESOLVED("run-unresolved"),
    /** A run of an earlier owner may continue on a worker that has not reported. */
    RUNS_UNSEEN("runs-unseen"),
    /** This owner may not start tasks at present. */
    NO_PERMISSION("no-permission"),
    /** The task is blocked for some time. */
    PAUSED("paused"),
    /** No configuration had the queue of the job. */
    QUEUE_UNKNOWN("queue-unknown"),
    /** Workers have crashed under the task, so it is kept apart from others. */
    SUSPECTED("suspected"),
    /** The limit of the job's team leaves no room. */
    TEAM_LIMIT("team-limit"),
    /** Another task of the gang cannot start. */
    GANG("gang"),
    /** No worker accepts work and has the required label. */
    NO_WORKER("no-worker"),
    /** No worker that suits has room, or is below the step's limit for each worker. */
    NO_ROOM("no-room"),
    /** No placement advice permits a worker with room. */
    ADVICE("advice"),
    /** Each worker with room has not answered lately, is on probation, or has as many starts in flight as it may have. */
    WORKERS_BUSY("workers-busy"),
    /** A worker is free; it is reserved for another step, or the next round of placements uses it. */
    NOT_PLACED("not-placed");

    private final String text;

    WaitReason(String text) {
        this.text = text;
    }

    /**
     * Returns the stable name of the reason.
     */
    String text() {
        return text;
    }
}
