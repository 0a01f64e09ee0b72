package org.trefoilpost.entry.claim;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.model.EntryId;

/**
 * What the claims' duty needs of the other duties and of the peers.
 */
public interface ClaimPorts {
    /**
     * Returns this entry and its live peers.
     *
     * @return the entries, not null
     */
    Set<EntryId> liveEntries();

    /**
     * Carries a request to a worker.
     *
     * @param request  the request, not null
     * @return the outcome, not null; never fails
     */
    CompletableFuture<RequestOutcome> dispatch(CallerRequest request);

    /**
     * Forwards a request to the owner of its key's shard.
     *
     * @param owner  the owner, not null
     * @param request  the request, not null
     * @return the outcome, not null; fails with a {@link org.trefoilpost.entry.peer.PeerCallException}
     */
    CompletableFuture<RequestOutcome> forward(EntryId owner, CallerRequest request);

    /**
     * Passes claims and answers on to the next owner of a shard.
     *
     * @param next  the next owner, not null
     * @param handOver  the claims and answers, not null
     */
    void handOver(EntryId next, HandOver handOver);
}
