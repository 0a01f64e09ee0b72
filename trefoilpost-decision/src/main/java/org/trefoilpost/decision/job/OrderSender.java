package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * Sends orders to workers and records what was sent.
 */
final class OrderSender {
    /** The lease of a start, which a hold renews as soon as the start is answered; short, as one without an answer blocks its task. */
    static final long START_LEASE_MILLIS = 3_000;

    /** Time between two attempts to stop a run. */
    static final long STOP_RETRY_MILLIS = 300;

    private final PoolState state;

    OrderSender(PoolState state) {
        this.state = state;
    }

    /**
     * Starts a run of a task on a worker and returns the run.
     */
    Run start(JobTaskState task, int number, PoolWorker worker, Moment now) {
        long nowMillis = now.steadyMillis();
        Run run = new Run(task, number, worker, RunPhase.STARTING, nowMillis);
        run.checkpoint = task.checkpoint;
        run.reportAgeMillis = worker.answerAgeMillis(nowMillis);
        task.lastRunNumber = Math.max(task.lastRunNumber, number);
        worker.add(run);
        worker.startsInFlight++;
        JobState job = task.step.occurrence.job;
        state.actions.send(new WorkerOrder.Start(
                worker.id,
                worker.registration.address(),
                worker.incarnation,
                task.id,
                number,
                job.spec.text(),
                worker.lease.grant(nowMillis, Math.min(START_LEASE_MILLIS, state.timeouts.leaseMillis())),
                task.checkpoint.isEmpty() ? Optional.empty() : Optional.of(task.checkpoint),
                task.step.advice.useTicket(worker)));
        state.actions.logDecision(Decision.of("task-placed")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("run", number)
                .with("worker", worker.id)
                .with("freeCpu", worker.freeResources().cpuMillis())
                .with("reportAge", run.reportAgeMillis));
        // The next owner must find the run if the worker crashes under it again.
        state.markDirty(job, nowMillis, task.crashRecord.crashes() > 0);
        return run;
    }

    /**
     * Marks a run as unwanted, and sends the stop unless its start is still in flight.
     */
    void stop(Run run, String reason, Moment now) {
        if (run.phase == RunPhase.RUNNING || run.phase == RunPhase.STARTING) {
            state.actions.logDecision(Decision.of("stop-decided")
                    .with("job", run.task.id.job())
                    .with("task", run.task.id.text())
                    .with("run", run.number)
                    .with("worker", run.worker.id)
                    .with("reason", reason));
        }
        if (run.phase == RunPhase.RUNNING) {
            run.phase = RunPhase.STOPPING;
        }
        run.wanted = false;
        sendStop(run, now.steadyMillis());
    }

    /**
     * Sends a stop that is not answered yet, at most every {@link #STOP_RETRY_MILLIS}.
     */
    void sendStop(Run run, long nowMillis) {
        boolean retryDue = nowMillis - run.stopSentMillis >= STOP_RETRY_MILLIS;
        if (run.phase == RunPhase.STARTING || run.stopInFlight || run.stopAnswered || !retryDue) {
            return;
        }
        run.stopInFlight = true;
        run.stopSentMillis = nowMillis;
        PoolWorker worker = run.worker;
        state.actions.send(
                new WorkerOrder.Stop(worker.id, worker.registration.address(), run.task.id.text(), run.number));
    }

    /**
     * Tells a worker that is taken for gone, again and again, to refuse the unanswered starts whose tasks may have been started
     * elsewhere: if it starts again under its identifier all the same, it could carry them out before the registry lists it.
     */
    void stopReleasedStarts(PoolWorker worker, long nowMillis) {
        worker.unansweredStarts.forEach((key, start) -> {
            if (!worker.runs.containsKey(key) && !start.isOrderTooOld(nowMillis)) {
                sendStop(start, nowMillis);
            }
        });
    }

    /**
     * Sends a hold, which asks a worker for its status and renews its lease.
     */
    void hold(PoolWorker worker, long waitMillis, long nowMillis) {
        worker.holdInFlight = true;
        worker.holdUrgent = false;
        worker.holdSentMillis = nowMillis;
        worker.holdWaitMillis = waitMillis;
        worker.ackSentEnd = worker.endToAcknowledge(nowMillis);
        Optional<Long> leaseUntil = worker.needsLease()
                ? Optional.of(worker.lease.grant(nowMillis, state.timeouts.leaseMillis()))
                : Optional.empty();
        boolean anyIncarnation = leaseUntil.isEmpty() && worker.ackSentEnd == 0;
        state.actions.send(new WorkerOrder.Hold(
                worker.id,
                worker.registration.address(),
                anyIncarnation ? WorkerIncarnation.UNKNOWN : worker.incarnation,
                leaseUntil,
                worker.ackSentEnd,
                waitMillis));
    }

    /**
     * Sends a hold that does nothing but show the worker this owner's fencing token and ask for its status. Several may be under way,
     * so that a status counts as one that was asked for with the first of them.
     */
    void probe(PoolWorker worker, long nowMillis) {
        if (worker.probesInFlight == 0) {
            worker.holdSentMillis = nowMillis;
            worker.holdWaitMillis = 0;
            worker.ackSentEnd = 0;
        }
        worker.probesInFlight++;
        worker.probeSentMillis = nowMillis;
        state.actions.send(WorkerOrder.Hold.statusOnly(worker.id, worker.registration.address()));
    }

    /**
     * Limits the pace of a run to a percentage of full speed.
     */
    void pace(Run run, int percent) {
        run.pace = run.pace.ordered(percent);
        PoolWorker worker = run.worker;
        state.actions.send(
                new WorkerOrder.Pace(worker.id, worker.registration.address(), run.task.id, run.number, percent));
    }
}
