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
 * The connections to the entries that own pools, and to others for a time. A connection on which a ping is not answered
 * in time is replaced.
 */
final class OwnerConnections implements PeerCalls {
    private static final long PING_INTERVAL_MILLIS = 700;
    private static final long PING_TIMEOUT_MILLIS = 900;
    private static final byte[] EMPTY_REQUEST = {};

    private final JobContext context;
    private final PeerNetwork network;
    private final Map<String, LiveEntries.Peer> connectedPeers = new HashMap<>();
    private final Map<String, Kept> keptPeers = new HashMap<>();
    private long lastPingMillis;

    OwnerConnections(JobContext context, PeerNetwork network) {
        this.context = context;
        this.network = network;
    }

    /**
     * Opens connections to the owners of pools and the entries that are kept connected, closes all others, and sends a
     * ping on each if that is due.
     */
    void tick(LiveEntries liveEntries, String self, long nowMillis) {
        Set<String> wanted = new HashSet<>();
        for (LiveEntries.Owner owner : liveEntries.owners().values()) {
            if (!owner.peer().name().equals(self) && owner.peer().hasEndpoint()) {
                wanted.add(owner.peer().name());
                connect(owner.peer());
            }
        }
        keptPeers.values().removeIf(kept -> kept.untilMillis < nowMillis);
        for (Kept kept : keptPeers.values()) {
            if (wanted.add(kept.peer.name())) {
                connect(kept.peer);
            }
        }
        for (String name : Set.copyOf(connectedPeers.keySet())) {
            if (!wanted.contains(name)) {
                connectedPeers.remove(name);
                network.disconnect(EntryId.of(name));
            }
        }
        if (nowMillis - lastPingMillis >= PING_INTERVAL_MILLIS) {
            lastPingMillis = nowMillis;
            connectedPeers.values().forEach(this::ping);
        }
    }

    /**
     * Connects to an entry, and keeps the connection until a time though the entry may own no pool.
     */
    void keepConnected(LiveEntries.Peer peer, long untilMillis) {
        keptPeers.put(peer.name(), new Kept(peer, untilMillis));
        if (!connectedPeers.containsKey(peer.name())) {
            connect(peer);
        }
    }

    boolean isConnected(LiveEntries.Peer peer) {
        return network.connectedPeers().contains(EntryId.of(peer.name()));
    }

    /**
     * Connects to an owner, again if its address or incarnation has changed.
     */
    private void connect(LiveEntries.Peer peer) {
        LiveEntries.Peer previous = connectedPeers.put(peer.name(), peer);
        if (previous != null && !previous.equals(peer)) {
            network.disconnect(EntryId.of(peer.name()));
        }
        if (previous == null || !previous.equals(peer)) {
            network.connect(EntryId.of(peer.name()), Endpoint.parse(peer.address()));
        }
    }

    private void ping(LiveEntries.Peer peer) {
        EntryId entry = EntryId.of(peer.name());
        if (!network.connectedPeers().contains(entry)) {
            return;
        }
        context.call(
                () -> network.call(entry, id -> PoolCall.of(id, "", EMPTY_REQUEST), PING_TIMEOUT_MILLIS),
                (reply, failure) -> {
                    if (failure != null && peer.equals(connectedPeers.get(peer.name()))) {
                        context.logDecision(Decision.failure("dependency-lost")
                                .with("dependency", "entry " + peer.name())
                                .with("failure", String.valueOf(failure.getMessage())));
                        connectedPeers.remove(peer.name());
                        network.disconnect(entry);
                    }
                });
    }

    @Override
    public CompletableFuture<PoolAnswer> call(LiveEntries.Peer peer, String pool, byte[] request, long timeoutMillis) {
        return call(peer.name(), pool, request, timeoutMillis);
    }

    /**
     * Calls the entry with a name. May be called on any thread.
     *
     * @return the answer; fails if there is none within the timeout
     */
    CompletableFuture<PoolAnswer> call(String entry, String pool, byte[] request, long timeoutMillis) {
        return network.call(EntryId.of(entry), id -> PoolCall.of(id, pool, request), timeoutMillis)
                .thenApply(OwnerConnections::toPoolAnswer);
    }

    private static PoolAnswer toPoolAnswer(PeerReply reply) {
        if (reply instanceof PoolAnswer answer) {
            return answer;
        }
        throw new IllegalStateException("expected a pool answer to a pool call, but received " + reply);
    }

    private record Kept(LiveEntries.Peer peer, long untilMillis) {}
}
