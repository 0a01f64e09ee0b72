package org.trefoilpost.entry.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.entry.job.StoreFailure;
import org.trefoilpost.entry.job.StorePort;

/**
 * Plays stores that refuse one entry, all entries, or lose answers, in virtual time.
 */
class RelayedStoreTest {
    private static final StorePort.Change CHANGE =
            new StorePort.Change(Map.of("key", 0L), List.of(new StorePort.Put("key", new byte[] {1}, 7)), List.of());

    private long nowMillis;
    private final ScriptedStore ownStore = new ScriptedStore();
    private final ScriptedStore peerStore = new ScriptedStore();
    private final RelayedStore store = new RelayedStore(ownStore, () -> nowMillis, "entry-1", "probe");
    private final RelayedStore peer = new RelayedStore(peerStore, () -> nowMillis, "entry-2", "probe");
    private final DirectRelay relay = new DirectRelay();
    private final List<Object> paths = new ArrayList<>();

    RelayedStoreTest() {
        relay.entries.put("entry-2", peer);
        store.attach(relay, this::recordPath);
    }

    private void recordPath(Decision decision) {
        paths.add(decision.inputs().get("path"));
    }

    @Test
    void entryThatTheStoreRefusesCommitsThroughAPeer() {
        ownStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        refuseUntilRelayed();
        assertEquals(5L, store.commit(CHANGE).join());
        assertEquals(1, peerStore.changes.size());
        StorePort.Change passedOn = peerStore.changes.get(0);
        assertEquals(CHANGE.expected(), passedOn.expected());
        assertEquals(7, passedOn.puts().get(0).lease());
        assertEquals(List.of("relayed"), paths);
    }

    @Test
    void firstAnswerToAProbeEndsTheRelay() {
        ownStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        refuseUntilRelayed();
        ownStore.failure = Optional.empty();
        store.commit(CHANGE).join();
        assertEquals(0, ownStore.changes.size(), "the path has not been probed yet");
        nowMillis += 500;
        store.commit(CHANGE).join();
        assertEquals(1, ownStore.changes.size(), "the probe was answered before the call was sent");
        assertEquals(List.of("relayed", "direct"), paths);
    }

    @Test
    void conflictReachesTheCallerWithItsItems() {
        ownStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        refuseUntilRelayed();
        peerStore.failure = Optional.of(StoreFailure.Kind.CONFLICT);
        StoreFailure failure = failureOf(store.commit(CHANGE));
        assertEquals(StoreFailure.Kind.CONFLICT, failure.kind());
        assertEquals(9, failure.currentItem("key").orElseThrow().revision());
    }

    @Test
    void entryThatTheStoreDoesNotAnswerCommitsThroughAPeer() {
        ownStore.silent = true;
        store.watch("key", 1, WatchTimes.LONGEST);
        nowMillis += 600;
        CompletableFuture<Boolean> renewal = store.renewLease(1);
        assertFalse(renewal.isDone(), "a watch that is not answered shows no silence");
        nowMillis += 501;
        assertEquals(5L, store.commit(CHANGE).join());
        assertEquals(1, peerStore.changes.size());
        assertEquals(0, ownStore.changes.size());
        assertEquals(List.of("relayed"), paths);
    }

    /** Guards against an outage of the whole store being reported as calls that may have taken effect. */
    @Test
    void callThatNoEntryCarriesOutIsSentDirectly() {
        ownStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        peerStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        refuseUntilRelayed();
        int before = ownStore.calls;
        assertEquals(StoreFailure.Kind.REFUSED, failureOf(store.commit(CHANGE)).kind());
        assertEquals(before + 1, ownStore.calls);
        nowMillis += 10;
        store.commit(CHANGE);
        assertEquals(1, relay.sent, "the entry that could not pass the call on is not asked again at once");
    }

    @Test
    void entryWithoutAPathPassesNothingOn() {
        peerStore.failure = Optional.of(StoreFailure.Kind.UNKNOWN);
        failureOf(peer.read("key"));
        nowMillis += 100;
        failureOf(peer.read("key"));
        int before = peerStore.calls;
        List<Optional<byte[]>> replies = new ArrayList<>();
        peer.answer(StoreCallCodec.encode(new StoreCall.Read("key")), replies::add);
        assertEquals(List.of(Optional.empty()), replies);
        assertEquals(before, peerStore.calls);
    }

    @Test
    void callWhoseReplyIsLostMayHaveTakenEffect() {
        ownStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        refuseUntilRelayed();
        relay.loseReplies = true;
        int before = ownStore.calls;
        assertEquals(StoreFailure.Kind.UNKNOWN, failureOf(store.commit(CHANGE)).kind());
        assertEquals(1, peerStore.changes.size());
        assertEquals(before, ownStore.calls, "the call is not repeated");
    }

    @Test
    void malformedCallIsNotCarriedOut() {
        List<Optional<byte[]>> replies = new ArrayList<>();
        peer.answer(new byte[] {-63, 1, 2}, replies::add);
        peer.answer(new byte[0], replies::add);
        assertEquals(List.of(Optional.empty(), Optional.empty()), replies);
    }

    @Test
    void malformedReplyLeavesTheOutcomeUnknown() {
        ownStore.failure = Optional.of(StoreFailure.Kind.REFUSED);
        refuseUntilRelayed();
        relay.malformedReplies = true;
        assertEquals(StoreFailure.Kind.UNKNOWN, failureOf(store.commit(CHANGE)).kind());
    }

    private void refuseUntilRelayed() {
        assertEquals(StoreFailure.Kind.REFUSED, failureOf(store.read("key")).kind());
        nowMillis += 100;
        assertEquals(StoreFailure.Kind.REFUSED, failureOf(store.read("key")).kind());
        assertFalse(paths.isEmpty());
    }

    private static StoreFailure failureOf(CompletableFuture<?> call) {
        assertTrue(call.isCompletedExceptionally());
        return (StoreFailure)
                assertThrows(CompletionException.class, call::join).getCause();
    }

    /** Passes calls to other stores without a network. */
    private static final class DirectRelay implements StoreRelay {
        private final Map<String, RelayedStore> entries = new TreeMap<>();
        private boolean loseReplies;
        private boolean malformedReplies;
        private int sent;

        @Override
        public Collection<String> connectedPeers() {
            return entries.keySet();
        }

        @Override
        public CompletableFuture<Optional<byte[]>> send(String peer, byte[] call, long timeoutMillis) {
            sent++;
            CompletableFuture<Optional<byte[]>> reply = new CompletableFuture<>();
            entries.get(peer).answer(call, reply::complete);
            if (loseReplies) {
                return CompletableFuture.failedFuture(new IllegalStateException("lost"));
            }
            return malformedReplies ? CompletableFuture.completedFuture(Optional.of(new byte[] {-63})) : reply;
        }
    }

    /** A store that answers at once, or fails all calls in one way. */
    private static final class ScriptedStore implements StorePort {
        private final List<Change> changes = new ArrayList<>();
        private Optional<StoreFailure.Kind> failure = Optional.empty();
        private boolean silent;
        private int calls;

        private <T> CompletableFuture<T> answer(T value) {
            calls++;
            if (silent) {
                return new CompletableFuture<>();
            }
            Item current = new Item("key", new byte[] {2}, 9, 0);
            return failure.<CompletableFuture<T>>map(kind ->
                            CompletableFuture.failedFuture(new StoreFailure(kind, kind.name(), List.of(current))))
                    .orElseGet(() -> CompletableFuture.completedFuture(value));
        }

        @Override
        public CompletableFuture<Optional<Item>> read(String key) {
            return answer(Optional.empty());
        }

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            return answer(new Page(List.of(), false, 4));
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times) {
            return answer(new Changes(List.of(), 4));
        }

        @Override
        public CompletableFuture<Long> commit(Change change) {
            changes.add(change);
            return answer(5L);
        }

        @Override
        public CompletableFuture<Long> grantLease(long timeToLiveMillis) {
            return answer(3L);
        }

        @Override
        public CompletableFuture<Boolean> renewLease(long lease) {
            return answer(true);
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            return answer(null);
        }

        @Override
        public void renewConnections() {
            // There are no connections.
        }
    }
}
