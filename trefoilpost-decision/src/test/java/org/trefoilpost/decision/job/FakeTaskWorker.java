package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.WorkerId;

/** A worker that follows the platform's contract of tasks and logs each run by its own clock. */
final class FakeTaskWorker {
    private static final long NOTICE_MILLIS = 1_000;

    final WorkerId id;
    final List<Run> log = new ArrayList<>();
    long incarnation = 1;
    boolean failsAll;
    private final Map<JobId, Run> newest = new HashMap<>();

    FakeTaskWorker(WorkerId id) {
        this.id = id;
    }

    TaskReported call(CallTask call, long now, Random random) {
        advance(now);
        JobId job = call.spec().id();
        Run run = newest.get(job);
        long epoch = call.lease().epoch();
        TaskOutcome outcome =
                switch (call.kind()) {
                    case LOOK ->
                        run == null || run.epoch != epoch || run.endedByCall != null ? TaskOutcome.ABSENT : run.state;
                    case START -> start(call, run, now, random);
                    case CHECKPOINT, STOP -> end(call, run, now);
                };
        run = newest.get(job);
        String text = outcome == TaskOutcome.CHECKPOINTED ? Long.toString(run.progressMillis) : "";
        TaskUsage usage = TaskUsage.of(call.spec().resources().cores(), 0, 0);
        return TaskReported.of(job, id, epoch, call.kind(), outcome, text, usage);
    }

    void reboot(long now) {
        advance(now);
        newest.values().forEach(run -> run.end(now, TaskOutcome.LAPSED));
        newest.clear();
        incarnation++;
    }

    void advance(long now) {
        for (Run run : newest.values()) {
            long lapse = run.leaseUntil + NOTICE_MILLIS;
            long finish = run.start + run.needMillis;
            if (run.end == Long.MAX_VALUE && finish <= Math.min(now, lapse)) {
                run.progressMillis = run.fromMillis + run.needMillis;
                run.end(finish, run.fails ? TaskOutcome.FAILED : TaskOutcome.DONE);
            } else if (run.end == Long.MAX_VALUE && lapse <= now) {
                run.end(lapse, TaskOutcome.LAPSED);
            }
        }
    }

    private TaskOutcome start(CallTask call, Run run, long now, Random random) {
        long epoch = call.lease().epoch();
        if (run != null && (run.epoch > epoch || run.epoch == epoch && run.endedByCall != null)) {
            return TaskOutcome.STALE;
        }
        if (run != null && run.epoch == epoch) {
            run.leaseUntil = Math.max(run.leaseUntil, now + call.leaseMillis());
            return run.state;
        }
        if (random.nextInt(20) == 0) {
            return TaskOutcome.NOT_STARTED;
        }
        if (run != null) {
            run.end(now, TaskOutcome.LAPSED);
        }
        Run started = new Run(id, call.spec().id(), epoch, now);
        started.leaseUntil = now + call.leaseMillis();
        started.fromMillis = call.checkpoint().map(Long::parseLong).orElse(0L);
        started.fails = failsAll || call.spec().kind().equals("poison");
        started.needMillis = started.fails ? 200 : Math.max(1, call.spec().runMillis() - started.fromMillis);
        newest.put(call.spec().id(), started);
        log.add(started);
        return TaskOutcome.RUNNING;
    }

    private TaskOutcome end(CallTask call, Run run, long now) {
        if (run == null) {
            return TaskOutcome.ABSENT;
        }
        TaskOutcome wanted = call.kind() == TaskCallKind.STOP ? TaskOutcome.STOPPED : TaskOutcome.CHECKPOINTED;
        if (run.epoch != call.lease().epoch() || run.endedByCall != null && run.endedByCall != wanted) {
            return TaskOutcome.STALE;
        }
        if (run.endedByCall == null) {
            run.progressMillis = run.end == Long.MAX_VALUE ? run.fromMillis + now - run.start : run.progressMillis;
            run.endedByCall = wanted;
            run.end(now, wanted);
        }
        return wanted;
    }

    /** One run of a task. */
    static final class Run {
        final WorkerId worker;
        final JobId job;
        final long epoch;
        final long start;
        long end = Long.MAX_VALUE;
        TaskOutcome state = TaskOutcome.RUNNING;
        private TaskOutcome endedByCall;
        private long leaseUntil;
        private long needMillis;
        private long fromMillis;
        private long progressMillis;
        private boolean fails;

        Run(WorkerId worker, JobId job, long epoch, long start) {
            this.worker = worker;
            this.job = job;
            this.epoch = epoch;
            this.start = start;
        }

        /** Returns whether this run goes on from the saved progress of another. */
        boolean resumes(Run earlier) {
            return earlier.progressMillis > 0 && fromMillis >= earlier.progressMillis;
        }

        private void end(long now, TaskOutcome how) {
            if (end == Long.MAX_VALUE) {
                end = now;
                state = how;
            }
        }
    }
}
