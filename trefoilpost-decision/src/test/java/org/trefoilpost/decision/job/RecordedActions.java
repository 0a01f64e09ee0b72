package org.trefoilpost.decision.job;

import java.util.List;

/**
 * Collects orders instead of sending them.
 */
final class RecordedActions implements PoolActions {
    private final List<WorkerOrder> sent;

    RecordedActions(List<WorkerOrder> sent) {
        this.sent = sent;
    }

    @Override
    public void send(WorkerOrder order) {
        sent.add(order);
    }

    @Override
    public void requestAdvice(AdviceRequest request) {}

    @Override
    public void commit(Commit commit) {}

    @Override
    public void phaseStored(String job, JobPhase phase) {}

    @Override
    public void ownershipLost(String worker) {}

    @Override
    public void logDecision(Decision decision) {}
}
