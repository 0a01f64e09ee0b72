package org.trefoilpost.entry.claim;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.model.EntryId;

/**
 * The access of the claim service to the membership, the request service and the peers.
 */
public interface ClaimPorts {
    /**
     * Returns this entry and the peers that are considered live.
     *
     * @return the entries, not null
     */
    Set<EntryId> liveEntries();

    /**
     * Dispatches a request to a worker.
     *
     * @param request  the request whose key has been claimed, not null
     * @return the future outcome, which never completes exceptionally unless it is cancelled, not null
     */
    CompletableFuture<RequestOutcome> dispatch(CallerRequest request);

    /**
     * Forwards a request to the preferred owner of its key's shard.
     *
     * @param owner  the preferred owner, not null
     * @param request  the request, which has an idempotency key, not null
     * @return the future outcome, which fails with a {@link org.trefoilpost.entry.peer.PeerCallException}, not null
     */
    CompletableFuture<RequestOutcome> forward(EntryId owner, CallerRequest request);

    /**
     * Sends claims to the next owner of a shard, without waiting for a reply.
     *
     * @param next  the next owner, not null
     * @param handOver  the claims and the responses recorded for them, not null
     */
    void handOver(EntryId next, HandOver handOver);
}
