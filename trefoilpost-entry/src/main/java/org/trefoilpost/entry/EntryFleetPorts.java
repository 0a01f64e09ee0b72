package org.trefoilpost.entry;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.configuration.ConfigurationFollower;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.entry.fleet.DrainCount;
import org.trefoilpost.entry.fleet.FleetPorts;
import org.trefoilpost.entry.peer.CordonChange;
import org.trefoilpost.entry.peer.CordonNotice;
import org.trefoilpost.entry.peer.DrainAnswer;
import org.trefoilpost.entry.peer.DrainQuery;
import org.trefoilpost.entry.peer.UncordonAnswer;
import org.trefoilpost.entry.peer.UncordonCall;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

/**
 * Connects the fleet's duty to the other duties and to the peers.
 */
final class EntryFleetPorts implements FleetPorts {
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final EntryDuties duties;

    EntryFleetPorts(EntryDuties duties) {
        this.duties = duties;
    }

    @Override
    public void replacePoolMembers(Map<PoolName, List<Worker>> members) {
        duties.requests().replaceWorkers(members);
    }

    @Override
    public void updateLeavingWorkers(LeavingRegister register) {
        duties.requests().mergeLeaving(register);
    }

    @Override
    public CompletableFuture<Map<WorkerId, Integer>> inFlight() {
        return duties.requests().attemptsInFlight();
    }

    @Override
    public CompletableFuture<Set<WorkerId>> ejected() {
        return duties.requests().ejectedWorkers();
    }

    @Override
    public Set<EntryId> liveEntries() {
        return duties.membership().liveEntries();
    }

    @Override
    public Set<EntryId> possibleEntries() {
        return duties.membership().possibleEntries();
    }

    @Override
    public void broadcastCordon(CordonChange cordon) {
        duties.network().broadcast(CordonNotice.of(cordon));
    }

    @Override
    public CompletableFuture<DrainCount> queryDrainCount(EntryId peer, CordonChange cordon) {
        return duties.network()
                .call(peer, callId -> DrainQuery.of(callId, cordon), CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> {
                    DrainAnswer answer = (DrainAnswer) reply;
                    return DrainCount.of(answer.acknowledgedAttempt(), answer.inFlight());
                });
    }

    @Override
    public CompletableFuture<Boolean> requestUncordon(EntryId peer, CordonChange cordon, long stoppedIncarnation) {
        return duties.network()
                .call(peer, callId -> UncordonCall.of(callId, cordon, stoppedIncarnation), CALL_TIMEOUT_MILLIS)
                .thenApply(reply -> ((UncordonAnswer) reply).isInService());
    }

    @Override
    public boolean isConfigurationFresh(long nowMillis) {
        OptionalLong confirmed = duties.configuration().status().confirmedAsOfMillis();
        return confirmed.isPresent() && nowMillis - confirmed.getAsLong() < ConfigurationFollower.STALE_AFTER_MILLIS;
    }
}
