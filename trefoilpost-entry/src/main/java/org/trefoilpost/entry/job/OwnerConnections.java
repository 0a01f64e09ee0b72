package org.trefoilpost.entry.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.peer.PeerReply;
import org.trefoilpost.entry.peer.PoolAnswer;
import org.trefoilpost.entry.peer.PoolCall;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The connections to the entries that own pools. A connection that stays silent is made anew.
 */
final class OwnerConnections {
    private static final long PING_INTERVAL_MILLIS = 700;
    private static final long PING_TIMEOUT_MILLIS = 900;
    private static final byte[] EMPTY_REQUEST = {};

    private final JobContext context;
    private final PeerNetwork network;
    private final Map<String, LiveEntries.Peer> connectedOwners = new HashMap<>();
    private long lastPingMillis;

    OwnerConnections(JobContext context, PeerNetwork network) {
        this.context = context;
        this.network = network;
    }

    /**
     * Keeps connections to the owners of pools, and to no others.
     */
    void tick(LiveEntries live, String self, long nowMillis) {
        Set<String> wanted = new HashSet<>();
        for (LiveEntries.Owner owner : live.owners().values()) {
            if (!owner.peer().name().equals(self)) {
                wanted.add(owner.peer().name());
                connect(owner.peer());
            }
        }
        for (String name : Set.copyOf(connectedOwners.keySet())) {
            if (!wanted.contains(name)) {
                connectedOwners.remove(name);
                network.disconnect(EntryId.of(name));
            }
        }
        if (nowMillis - lastPingMillis >= PING_INTERVAL_MILLIS) {
            lastPingMillis = nowMillis;
            connectedOwners.values().forEach(this::ping);
        }
    }

    private void connect(LiveEntries.Peer peer) {
        LiveEntries.Peer present = connectedOwners.put(peer.name(), peer);
        if (present != null && !present.equals(peer)) {
            network.disconnect(EntryId.of(peer.name()));
        }
        if (present == null || !present.equals(peer)) {
            network.connect(EntryId.of(peer.name()), Endpoint.parse(peer.address()));
        }
    }

    private void ping(LiveEntries.Peer peer) {
        EntryId entry = EntryId.of(peer.name());
        if (!network.connectedPeers().contains(entry)) {
            return;
        }
        context.onServiceThread(
                network.call(entry, id -> PoolCall.of(id, "", EMPTY_REQUEST), PING_TIMEOUT_MILLIS),
                (reply, failure) -> {
                    if (failure != null && peer.equals(connectedOwners.get(peer.name()))) {
                        context.logDecision(Decision.failure("dependency-lost")
                                .with("dependency", "entry " + peer.name())
                                .with("failure", String.valueOf(failure.getMessage())));
                        connectedOwners.remove(peer.name());
                        network.disconnect(entry);
                    }
                });
    }

    /**
     * Calls the owner of a pool.
     */
    CompletableFuture<PoolAnswer> call(LiveEntries.Peer peer, String pool, byte[] request, long timeoutMillis) {
        return network.call(EntryId.of(peer.name()), id -> PoolCall.of(id, pool, request), timeoutMillis)
                .thenApply(OwnerConnections::toPoolAnswer);
    }

    private static PoolAnswer toPoolAnswer(PeerReply reply) {
        if (reply instanceof PoolAnswer answer) {
            return answer;
        }
        throw new IllegalStateException("a call to a pool's owner was answered with " + reply);
    }
}
