package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Records orders, commits and decisions instead of carrying them out, and ignores all other actions.
 */
final class RecordedActions implements PoolActions {
    private final List<WorkerOrder> sent;
    private final List<Commit> commits = new ArrayList<>();
    private final List<Decision> decisions = new ArrayList<>();
    private final List<AdviceRequest> adviceRequests = new ArrayList<>();
    private int takenCommits;

    RecordedActions(List<WorkerOrder> sent) {
        this.sent = sent;
    }

    /** Returns the last commit, which must exist. */
    Commit lastCommit() {
        return commits.get(commits.size() - 1);
    }

    /** Returns the number of the latest commit since the last call, empty if there was none. */
    OptionalLong takeCommit() {
        boolean isNew = takenCommits < commits.size();
        takenCommits = commits.size();
        return isNew ? OptionalLong.of(lastCommit().number()) : OptionalLong.empty();
    }

    /** Returns the requests for advice since the last call, the earliest first. */
    List<AdviceRequest> takeAdviceRequests() {
        List<AdviceRequest> taken = List.copyOf(adviceRequests);
        adviceRequests.clear();
        return taken;
    }

    /** Returns the logged decisions of a name, the earliest first. */
    List<Decision> decisions(String name) {
        return decisions.stream()
                .filter(decision -> decision.name().equals(name))
                .toList();
    }

    @Override
    public void send(WorkerOrder order) {
        sent.add(order);
    }

    @Override
    public void requestAdvice(AdviceRequest request) {
        adviceRequests.add(request);
    }

    @Override
    public void commit(Commit commit) {
        commits.add(commit);
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {}

    @Override
    public void ownershipLost(String workerId) {}

    @Override
    public void logDecision(Decision decision) {
        decisions.add(decision);
    }
}
