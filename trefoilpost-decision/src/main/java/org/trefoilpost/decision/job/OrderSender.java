package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * Sends orders to workers and keeps what was sent in the slots.
 */
final class OrderSender {
    /** Time in milliseconds between two attempts to stop a run. */
    static final long STOP_RETRY_MILLIS = 300;

    private final PoolState state;

    OrderSender(PoolState state) {
        this.state = state;
    }

    /**
     * Starts a run of a task on a worker.
     */
    Run start(JobTaskState task, int number, PoolWorker slot, Moment now) {
        long nowMillis = now.steadyMillis();
        Run run = new Run(task, number, slot, RunPhase.STARTING, nowMillis);
        run.checkpoint = task.checkpoint;
        task.lastRunNumber = Math.max(task.lastRunNumber, number);
        slot.add(run);
        slot.startsInFlight++;
        JobState job = task.step.occurrence.job;
        JobStepState.Ticket ticket = task.step.tickets.get(slot.id);
        state.actions.send(new WorkerOrder.Start(
                slot.id,
                slot.registration.address(),
                task.id,
                number,
                job.spec.text(),
                slot.grantLease(nowMillis, state.timeouts.leaseMillis()),
                task.checkpoint.isEmpty() ? Optional.empty() : Optional.of(task.checkpoint),
                Optional.ofNullable(ticket).map(JobStepState.Ticket::text)));
        state.actions.logDecision(Decision.of("task-placed")
                .with("job", task.id.job())
                .with("task", task.id.text())
                .with("run", number)
                .with("worker", slot.id)
                .with("freeCpu", slot.freeResources().cpuMillis())
                .with("reportAge", slot.answerAgeMillis(nowMillis)));
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
        }
        state.markDirty(job, nowMillis, false);
        return run;
    }

    /**
     * Decides that a run is to stop, and sends the order.
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
     * Sends a stop that is wanted and not answered yet, at most every {@link #STOP_RETRY_MILLIS}.
     */
    void sendStop(Run run, long nowMillis) {
        boolean due = nowMillis - run.stopSentMillis >= STOP_RETRY_MILLIS;
        if (run.phase == RunPhase.STARTING || run.stopInFlight || run.stopAnswered || !due) {
            return;
        }
        run.stopInFlight = true;
        run.stopSentMillis = nowMillis;
        PoolWorker slot = run.worker;
        state.actions.send(new WorkerOrder.Stop(slot.id, slot.registration.address(), run.task.id.text(), run.number));
    }

    /**
     * Asks a worker what runs, and renews its lease.
     */
    void hold(PoolWorker slot, long waitMillis, long nowMillis) {
        slot.holdInFlight = true;
        slot.holdUrgent = false;
        slot.holdSentMillis = nowMillis;
        slot.ackSentEnd = slot.storedEnd;
        // A worker that does not answer is not renewed, so that its lease runs out at a known time.
        boolean renewed = slot.fenced && slot.isClockKnown() && slot.missedCalls == 0;
        Optional<Long> until =
                renewed ? Optional.of(slot.grantLease(nowMillis, state.timeouts.leaseMillis())) : Optional.empty();
        state.actions.send(
                new WorkerOrder.Hold(slot.id, slot.registration.address(), until, slot.storedEnd, waitMillis));
    }

    /**
     * Limits how fast a run may work.
     */
    void pace(Run run, int percent) {
        run.pacePercent = percent;
        PoolWorker slot = run.worker;
        state.actions.send(
                new WorkerOrder.Pace(slot.id, slot.registration.address(), run.task.id, run.number, percent));
    }
}
