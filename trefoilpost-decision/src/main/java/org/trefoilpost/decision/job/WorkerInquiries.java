package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Asks workers for their status before tasks are placed on them. A worker without runs is not polled, so one whose last answer
 * is old may have been lost unnoticed, and a start there would hold its task until the lease has expired.
 */
final class WorkerInquiries {
    /** Time after which a worker that was asked is not waited for alone: others are asked as well. */
    private static final long ANSWER_MILLIS = 100;

    private final OrderSender orderSender;
    /** The resources on asked workers that are set aside for tasks in the present round. */
    private final Map<PoolWorker, ResourceAmount> setAside = new HashMap<>();

    WorkerInquiries(OrderSender orderSender) {
        this.orderSender = orderSender;
    }

    /**
     * Begins a round of placements, in which no resources are set aside yet.
     */
    void beginRound() {
        setAside.clear();
    }

    /**
     * Asks workers on which a task of a step could start if they answer: one, and one more for each that was asked before and has
     * not answered in time.
     *
     * @param candidates  the workers whose last answer is old and that may run the task, the best first
     */
    void awaitRoom(JobStepState step, List<PoolWorker> candidates, long nowMillis) {
        long overdue = candidates.stream()
                .filter(worker -> isOverdue(worker, nowMillis))
                .count();
        long wanted = 1 + overdue;
        long awaited = 0;
        for (PoolWorker worker : candidates) {
            if (awaited < wanted && mayAwait(step, worker, nowMillis)) {
                setAside(step, worker);
                ask(worker, nowMillis);
                awaited++;
            }
        }
    }

    /**
     * Returns whether a task of a step may wait for the answer of a worker.
     */
    boolean mayAwait(JobStepState step, PoolWorker worker, long nowMillis) {
        return !isOverdue(worker, nowMillis) && step.spec.reservedDemand().fitsIn(roomLeft(worker));
    }

    private ResourceAmount roomLeft(PoolWorker worker) {
        return worker.freeResources().minus(setAside.getOrDefault(worker, ResourceAmount.NONE));
    }

    /**
     * Asks workers for their status, unless that is under way.
     */
    void ask(Collection<PoolWorker> workers, long nowMillis) {
        workers.forEach(worker -> ask(worker, nowMillis));
    }

    /**
     * Returns whether a worker was asked so long ago that it counts as silent until it answers.
     */
    static boolean isOverdue(PoolWorker worker, long nowMillis) {
        return worker.answerWanted && nowMillis - worker.answerWantedMillis > ANSWER_MILLIS;
    }

    private void ask(PoolWorker worker, long nowMillis) {
        worker.wantAnswer(nowMillis);
        if (!worker.holdInFlight && nowMillis >= worker.nextHoldMillis) {
            orderSender.hold(worker, 0, nowMillis);
        }
    }

    private void setAside(JobStepState step, PoolWorker worker) {
        // A worker that may run few tasks of the step counts for one of them.
        boolean limited = step.spec.maxPerWorker() > 0;
        setAside.merge(worker, limited ? roomLeft(worker) : step.spec.reservedDemand(), ResourceAmount::plus);
    }
}
