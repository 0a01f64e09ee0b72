package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Records orders and commits instead of sending them, and ignores all other actions.
 */
final class RecordedActions implements PoolActions {
    private final List<WorkerOrder> sent;
    private final List<Commit> commits = new ArrayList<>();

    RecordedActions(List<WorkerOrder> sent) {
        this.sent = sent;
    }

    /** Returns the last commit, which must exist. */
    Commit lastCommit() {
        return commits.get(commits.size() - 1);
    }

    @Override
    public void send(WorkerOrder order) {
        sent.add(order);
    }

    @Override
    public void requestAdvice(AdviceRequest request) {}

    @Override
    public void commit(Commit commit) {
        commits.add(commit);
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {}

    @Override
    public void ownershipLost(String workerId) {}

    @Override
    public void logDecision(Decision decision) {}
}
