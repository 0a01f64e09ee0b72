package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.decision.job.Commit;

/**
 * Records the outcomes of commits.
 */
final class RecordedOutcome implements PoolStore.CommitListener {
    private final List<String> events;

    RecordedOutcome() {
        this(new ArrayList<>());
    }

    /**
     * Constructs a listener.
     *
     * @param events  receives the outcomes
     */
    RecordedOutcome(List<String> events) {
        this.events = events;
    }

    List<String> events() {
        return events;
    }

    @Override
    public boolean isCancelled() {
        return false;
    }

    @Override
    public void committed(Commit commit, long confirmedMillis) {
        events.add("committed " + commit.number());
    }

    @Override
    public void rejected(Commit commit, StorePort.Item configuration) {
        events.add("rejected " + commit.number() + " by " + new String(configuration.value(), StandardCharsets.UTF_8));
    }

    @Override
    public void ownershipLost(String reason) {
        events.add("lost " + reason);
    }
}
