package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * Handles the outcomes of orders, except for holds that were answered with a status.
 */
final class OrderAnswers {
    private final PoolState state;
    private final RunTracker runTracker;

    OrderAnswers(PoolState state, RunTracker runTracker) {
        this.state = state;
        this.runTracker = runTracker;
    }

    /**
     * Handles the outcome of an order.
     */
    void handle(WorkerOrder order, OrderResult answer, Moment now) {
        PoolWorker worker = state.workers.get(order.worker());
        OrderResult result = worker == null ? answer : resultFor(worker, order, answer);
        if (result == OrderResult.FENCED) {
            state.actions.ownershipLost(order.worker());
        }
        if (worker == null) {
            return;
        }
        Optional<Run> releasedStart = releasedStart(worker, order);
        releasedStart.ifPresent(start -> releasedStartStopped(start, result));
        boolean probe = order instanceof WorkerOrder.Hold && worker.holdCompleted();
        if (probe && result == OrderResult.NO_ANSWER) {
            // One that was sent before the worker started again says nothing of its present incarnation.
            worker.missedCalls += worker.mayReturn ? 1 : 0;
        } else if (result == OrderResult.NO_ANSWER && releasedStart.isEmpty()) {
            worker.callUnanswered(now.steadyMillis());
        }
        if (order instanceof WorkerOrder.Start start) {
            runTracker.startAnswered(worker, start.task(), start.run(), result, now);
        } else if (order instanceof WorkerOrder.Stop stop) {
            runTracker.stopAnswered(worker, stop.task(), stop.run(), result, now);
        } else if (order instanceof WorkerOrder.Hold && (!probe || result == OrderResult.OTHER_LIFE)) {
            runTracker.holdFailed(worker, result, now);
        } else if (order instanceof WorkerOrder.Pace pace) {
            Optional.ofNullable(worker.run(pace.task().text(), pace.run()))
                    .ifPresent(run -> run.pace = run.pace.answered(result, now.steadyMillis()));
        }
    }

    /**
     * Returns the unanswered start that an order is to stop, if the worker no longer counts as running it. A late stop of such a start
     * does no harm.
     */
    private static Optional<Run> releasedStart(PoolWorker worker, WorkerOrder order) {
        if (order instanceof WorkerOrder.Stop stop && worker.run(stop.task(), stop.run()) == null) {
            return worker.unansweredStarts.values().stream()
                    .filter(start ->
                            start.number == stop.run() && start.task.id.text().equals(stop.task()))
                    .findFirst();
        }
        return Optional.empty();
    }

    private static void releasedStartStopped(Run start, OrderResult result) {
        start.stopInFlight = false;
        start.stopAnswered |= result == OrderResult.OK || result == OrderResult.OTHER_LIFE;
    }

    /**
     * Returns what an answer means for a worker. Another worker at an address that the worker had before it restarted has refused
     * the order, and says nothing of the present incarnation.
     */
    private static OrderResult resultFor(PoolWorker worker, WorkerOrder order, OrderResult answer) {
        boolean moved = !order.address().equals(worker.registration.address());
        return answer == OrderResult.OTHER_LIFE && moved ? OrderResult.REFUSED : answer;
    }
}
