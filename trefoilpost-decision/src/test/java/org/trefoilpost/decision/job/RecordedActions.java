package org.trefoilpost.decision.job;

import java.util.List;
import java.util.OptionalLong;

/**
 * Records orders instead of sending them, and the number of the latest commit, and ignores all other actions.
 */
final class RecordedActions implements PoolActions {
    private final List<WorkerOrder> sent;
    private OptionalLong openCommit = OptionalLong.empty();

    RecordedActions(List<WorkerOrder> sent) {
        this.sent = sent;
    }

    /** Returns the number of the commit since the last call, empty if there was none. */
    OptionalLong takeCommit() {
        OptionalLong taken = openCommit;
        openCommit = OptionalLong.empty();
        return taken;
    }

    @Override
    public void send(WorkerOrder order) {
        sent.add(order);
    }

    @Override
    public void requestAdvice(AdviceRequest request) {}

    @Override
    public void commit(Commit commit) {
        openCommit = OptionalLong.of(commit.number());
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {}

    @Override
    public void ownershipLost(String workerId) {}

    @Override
    public void logDecision(Decision decision) {}
}
