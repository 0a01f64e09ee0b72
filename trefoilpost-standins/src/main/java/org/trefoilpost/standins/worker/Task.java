package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.trefoilpost.standins.http.Json;

/**
 * One task of a worker, whose progress is worked out from the time that is passed in.
 */
final class Task {
    private static final int WHOLE_SHARE = 100;
    private static final long USAGE_LAG_MILLIS = 500;

    private final String job;
    private final long epoch;
    private final TaskSpec spec;
    private TaskState state = TaskState.RUNNING;
    private int share = WHOLE_SHARE;
    private int usedShare;
    private long usedShareAtMillis;
    private double doneMillis;
    private long workedUntilMillis;
    private long leaseEndMillis;

    private Task(String job, long epoch, TaskSpec spec, long nowMillis) {
        this.job = job;
        this.epoch = epoch;
        this.spec = spec;
        this.doneMillis = spec.doneMillis();
        this.workedUntilMillis = nowMillis;
        this.usedShareAtMillis = nowMillis;
    }

    static Task start(String job, long epoch, TaskSpec spec, long leaseMillis, long nowMillis) {
        Task task = new Task(job, epoch, spec, nowMillis);
        task.renew(leaseMillis, nowMillis);
        return task;
    }

    String job() {
        return job;
    }

    long epoch() {
        return epoch;
    }

    TaskSpec spec() {
        return spec;
    }

    TaskState state() {
        return state;
    }

    boolean isRunning() {
        return state == TaskState.RUNNING;
    }

    void renew(long leaseMillis, long nowMillis) {
        leaseEndMillis = nowMillis + leaseMillis;
    }

    void throttle(int newShare, long nowMillis) {
        advance(nowMillis);
        share = Math.max(0, Math.min(WHOLE_SHARE, newShare));
    }

    /**
     * Lets the task work until a time, and ends it when its work is done or its lease has lapsed.
     */
    void advance(long nowMillis) {
        if (!isRunning()) {
            return;
        }
        doneMillis += Math.max(0, nowMillis - workedUntilMillis) * (double) share / WHOLE_SHARE;
        workedUntilMillis = Math.max(workedUntilMillis, nowMillis);
        if (nowMillis - usedShareAtMillis >= USAGE_LAG_MILLIS) {
            usedShare = share;
            usedShareAtMillis = nowMillis;
        }
        if (doneMillis >= spec.runMillis()) {
            state = TaskState.DONE;
        } else if (nowMillis >= leaseEndMillis) {
            state = TaskState.LAPSED;
        }
    }

    void end(TaskState newState) {
        if (isRunning()) {
            state = newState;
        }
    }

    String checkpoint() {
        return TaskSpec.checkpoint((long) doneMillis);
    }

    ObjectNode toJson() {
        double progress = spec.runMillis() <= 0 ? 1.0 : Math.min(1.0, doneMillis / spec.runMillis());
        int used = isRunning() ? usedShare : 0;
        return Json.object()
                .put("job", job)
                .put("epoch", epoch)
                .put("kind", spec.kind())
                .put("state", state.code())
                .put("coresUsed", spec.cores() * (double) used / WHOLE_SHARE)
                .put("memoryMbUsed", used == 0 ? 0 : spec.memoryMb())
                .put("progress", progress);
    }
}
