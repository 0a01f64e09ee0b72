package org.trefoilpost.decision.job;

import java.util.List;

/**
 * Records orders instead of sending them, and ignores all other actions.
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
    public void ownershipLost(String workerId) {}

    @Override
    public void logDecision(Decision decision) {}
}
