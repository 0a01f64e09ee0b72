package org.trefoilpost.entry;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.entry.claim.ClaimPorts;
import org.trefoilpost.entry.peer.ForwardOutcome;
import org.trefoilpost.entry.peer.ForwardRequest;
import org.trefoilpost.entry.peer.HandOverNotice;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.EntryId;

/**
 * Connects the claims' duty to the other duties and to the peers.
 */
final class EntryClaimPorts implements ClaimPorts {
    private final EntryDuties duties;
    private final MillisClock clock;

    EntryClaimPorts(EntryDuties duties, MillisClock clock) {
        this.duties = duties;
        this.clock = clock;
    }

    @Override
    public Set<EntryId> liveEntries() {
        return duties.membership().liveEntries();
    }

    @Override
    public CompletableFuture<RequestOutcome> dispatch(CallerRequest request) {
        return duties.requests().submit(request);
    }

    @Override
    public CompletableFuture<RequestOutcome> forward(EntryId owner, CallerRequest request) {
        long remainingMillis = Math.max(1, request.deadlineMillis() - clock.nowMillis());
        return duties.network()
                .call(owner, callId -> ForwardRequest.of(callId, remainingMillis, request), remainingMillis)
                .thenApply(reply -> ((ForwardOutcome) reply).outcome());
    }

    @Override
    public void handOver(EntryId next, HandOver handOver) {
        duties.network().send(next, HandOverNotice.of(handOver));
    }
}
