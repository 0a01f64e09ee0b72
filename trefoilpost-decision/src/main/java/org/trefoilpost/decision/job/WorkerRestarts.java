package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Optional;

/**
 * Detects that a worker has restarted under its identifier, and begins its new incarnation: the runs of the previous one
 * have ended, and nothing that was known of it applies to the new one, except for orders that are still on their way.
 */
final class WorkerRestarts {
    private final PoolState state;
    private final WorkerLosses workerLosses;

    WorkerRestarts(PoolState state, WorkerLosses workerLosses) {
        this.state = state;
        this.workerLosses = workerLosses;
    }

    /**
     * Returns the worker to which a registry entry applies, in its new incarnation if the entry shows a restart; empty if
     * the entry is that of a previous incarnation.
     */
    Optional<PoolWorker> registered(PoolWorker worker, WorkerIncarnation registered, Moment now) {
        if (worker.incarnation.isAfter(registered)) {
            return Optional.empty();
        }
        if (registered.isAfter(worker.incarnation)) {
            return Optional.of(begin(worker, registered, "registered-again", now));
        }
        worker.learnIncarnation(registered);
        return Optional.of(worker);
    }

    /**
     * Returns the worker to which a status applies, in its new incarnation if the status shows a restart; empty if the
     * status is that of a previous incarnation.
     */
    Optional<PoolWorker> reported(PoolWorker worker, WorkerRunStatus status, Moment now) {
        WorkerIncarnation reported = status.incarnation();
        boolean probe = worker.holdCompleted();
        if (worker.incarnation.isAfter(reported)) {
            worker.nextHoldMillis = now.steadyMillis();
            state.actions.logDecision(Decision.of("worker-status-outdated")
                    .with("worker", worker.id)
                    .with("born", worker.incarnation.born())
                    .with("reportedBorn", reported.born()));
            return Optional.empty();
        }
        if (reported.isAfter(worker.incarnation)) {
            return Optional.of(begin(worker, reported, "status", now));
        }
        worker.learnIncarnation(reported);
        if (probe && worker.ended) {
            // The probe was sent after the end was learned.
            worker.ended = false;
            state.actions.logDecision(Decision.failure("worker-end-disproved").with("worker", worker.id));
        }
        boolean clockWentBack = worker.incarnation.isKnown() && worker.lease.showsEarlierClock(status.clockMillis());
        return Optional.of(clockWentBack ? begin(worker, worker.incarnation, "clock-went-back", now) : worker);
    }

    private PoolWorker begin(PoolWorker former, WorkerIncarnation incarnation, String reason, Moment now) {
        long nowMillis = now.steadyMillis();
        int formerRuns = former.runs.size();
        if (!former.ended) {
            workerLosses.workerCrashed(former, run -> !run.mayStartAfterRestart(), now);
        }
        PoolWorker worker = PoolWorker.afterRestart(former, incarnation, state.timeouts.maxLeaseMillis(), nowMillis);
        state.workers.put(worker.id, worker);
        for (Run run : new ArrayList<>(former.runs.values())) {
            former.remove(run);
            if (run.mayStartAfterRestart()) {
                worker.add(run.afterRestart(worker));
            } else {
                run.task.notReadySinceMillis = Math.max(run.task.notReadySinceMillis, nowMillis);
            }
        }
        stopUnansweredStarts(former, worker, nowMillis);
        // An order of an earlier owner may be on its way to the new incarnation, which has not seen a fencing token
        // yet.
        if (state.unresolvedWorkers.remove(former) || nowMillis < state.foreignOrdersUntilMillis) {
            state.unresolvedWorkers.add(worker);
        }
        state.placementDue = true;
        state.actions.logDecision(Decision.failure("worker-restarted")
                .with("worker", worker.id)
                .with("reason", reason)
                .with("born", incarnation.born())
                .with("formerBorn", former.incarnation.born())
                .with("runs", formerRuns)
                .with("unresolved", worker.runs.size())
                .with("pauseMillis", Math.max(0, worker.pausedUntilMillis - nowMillis))
                .with("answerAge", former.answerAgeMillis(nowMillis)));
        return worker;
    }

    /**
     * Adds the starts that a previous incarnation never answered but had stopped, so that the new incarnation, which does
     * not know of the stops, is told to refuse them too.
     */
    private static void stopUnansweredStarts(PoolWorker former, PoolWorker worker, long nowMillis) {
        for (Run start : former.unansweredStarts.values()) {
            if (!start.isOrderTooOld(nowMillis)) {
                worker.unansweredStarts.put(PoolWorker.key(start), start);
                if (worker.run(start.task.id.text(), start.number) == null) {
                    Run run = start.afterRestart(worker);
                    run.wanted = false;
                    run.stopInFlight = false;
                    // An answer that is on its way may be that of the previous incarnation.
                    run.stopSentBeforeRestart = true;
                    worker.add(run);
                }
            }
        }
    }
}
