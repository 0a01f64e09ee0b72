package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.trefoilpost.entry.peer.PeerCallException;
import org.trefoilpost.entry.peer.PeerReply;
import org.trefoilpost.entry.peer.PoolAnswer;
import org.trefoilpost.entry.peer.PoolCall;
import org.trefoilpost.entry.relay.RelayedStore;
import org.trefoilpost.entry.relay.StoreRelay;

/**
 * Passes calls to the store on to other live entries, as calls to a pool that no configuration can contain.
 */
final class PeerStoreRelay implements StoreRelay {
    /** The name under which the store is called like a pool; no pool has a name that contains {@code @}. */
    static final String POOL = "@store";

    /** The number of entries to which connections are kept while the store does not serve this entry. */
    private static final int KEPT_CONNECTIONS = 3;

    private static final long KEEP_CONNECTED_MILLIS = 5_000;

    private final JobContext context;
    private final LiveEntries liveEntries;
    private final OwnerConnections connections;

    PeerStoreRelay(JobContext context, LiveEntries liveEntries, OwnerConnections connections) {
        this.context = context;
        this.liveEntries = liveEntries;
        this.connections = connections;
    }

    @Override
    public Collection<String> connectedPeers() {
        List<String> connected = new ArrayList<>();
        List<LiveEntries.Peer> others = othersInTurn();
        for (LiveEntries.Peer peer : others) {
            if (connections.isConnected(peer)) {
                connected.add(peer.name());
            }
        }
        long untilMillis = context.now().steadyMillis() + KEEP_CONNECTED_MILLIS;
        others.stream().limit(KEPT_CONNECTIONS).forEach(peer -> connections.keepConnected(peer, untilMillis));
        return connected;
    }

    /**
     * Returns the other live entries by name, beginning after this one, so that different entries prefer different peers.
     */
    private List<LiveEntries.Peer> othersInTurn() {
        TreeMap<String, LiveEntries.Peer> byName = new TreeMap<>();
        liveEntries.entries().forEach(peer -> byName.put(peer.name(), peer));
        String self = context.settings().name();
        List<LiveEntries.Peer> others =
                new ArrayList<>(byName.tailMap(self, false).values());
        others.addAll(byName.headMap(self, false).values());
        return others;
    }

    @Override
    public CompletableFuture<Optional<byte[]>> send(String peer, byte[] call, long timeoutMillis) {
        return connections.call(peer, POOL, call, timeoutMillis).handle((answer, failure) -> {
            if (failure == null) {
                return answer.isOwner() ? Optional.of(answer.reply()) : Optional.empty();
            }
            if (isNeverSent(failure)) {
                return Optional.empty();
            }
            throw new CompletionException(failure);
        });
    }

    /**
     * Carries out another entry's call, and replies on any thread.
     */
    static void answer(RelayedStore store, PoolCall call, Consumer<PeerReply> reply) {
        store.answer(
                call.request(),
                bytes -> reply.accept(bytes.map(found -> PoolAnswer.of(call.callId(), true, found))
                        .orElseGet(() -> PoolAnswer.of(call.callId(), false, new byte[0]))));
    }

    private static boolean isNeverSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PeerCallException call && !call.possiblySent();
    }
}
