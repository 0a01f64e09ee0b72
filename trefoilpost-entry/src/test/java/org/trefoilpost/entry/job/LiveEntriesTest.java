package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a registered entry with an unreadable address, on which every attempt to connect would fail.
 */
class LiveEntriesTest {
    private static final LiveEntries.Peer READABLE = new LiveEntries.Peer("entry-2", "127.0.0.1:2", "first", 750);
    private static final LiveEntries.Peer UNREADABLE = new LiveEntries.Peer("entry-3", "no address", "first", 750);

    private final LiveEntries liveEntries = new LiveEntries();

    @Test
    void entryWithAnUnreadableAddressIsSkipped() {
        LiveEntries.Peer named = new LiveEntries.Peer("entry-4", "no-such-host:80", "first", 750);
        liveEntries.replace(List.of(item(READABLE), item(UNREADABLE), item(named)), 0);
        assertEquals(List.of(READABLE), List.copyOf(liveEntries.entries()));
    }

    @Test
    void entryWhoseAddressBecomesUnreadableIsRemoved() {
        liveEntries.replace(List.of(item(READABLE)), 0);
        LiveEntries.Peer changed = new LiveEntries.Peer(READABLE.name(), "127.0.0.1:x", "second", 750);
        liveEntries.change(LiveEntries.entryKey(READABLE.name()), Optional.of(item(changed)), 0);
        assertTrue(liveEntries.entries().isEmpty());
    }

    @Test
    void timeWithoutAnOwnerBeforeAClaimIsKnown() {
        String key = LiveEntries.ownerKey("pool");
        liveEntries.replace(List.of(), 1_000);
        assertEquals(1_200, liveEntries.ownerlessSinceMillis("pool", 1_200));
        liveEntries.change(key, Optional.of(claim(key, 7)), 1_500);
        assertEquals(OptionalLong.of(1_200), liveEntries.ownerlessBeforeClaimMillis("pool", 7));
        assertEquals(OptionalLong.empty(), liveEntries.ownerlessBeforeClaimMillis("pool", 8));
    }

    /** Guards against an owner that counts on the time before a claim of another entry, whose orders may be on their way. */
    @Test
    void claimOfAnotherEntryInBetweenEndsTheTimeWithoutAnOwner() {
        String key = LiveEntries.ownerKey("pool");
        liveEntries.replace(List.of(), 1_000);
        liveEntries.ownerlessSinceMillis("pool", 1_200);
        liveEntries.change(key, Optional.of(claim(key, 7)), 1_500);
        liveEntries.change(key, Optional.empty(), 1_600);
        liveEntries.change(key, Optional.of(claim(key, 9)), 1_700);
        assertEquals(OptionalLong.of(1_600), liveEntries.ownerlessBeforeClaimMillis("pool", 9));
    }

    @Test
    void changesThatWereMissedEndTheKnowledge() {
        String key = LiveEntries.ownerKey("pool");
        liveEntries.replace(List.of(), 1_000);
        liveEntries.ownerlessSinceMillis("pool", 1_200);
        liveEntries.replace(List.of(), 2_000);
        liveEntries.change(key, Optional.of(claim(key, 9)), 2_100);
        assertEquals(OptionalLong.of(2_000), liveEntries.ownerlessBeforeClaimMillis("pool", 9));
        liveEntries.change(key, Optional.of(claim(key, 10)), 2_200);
        assertEquals(OptionalLong.empty(), liveEntries.ownerlessBeforeClaimMillis("pool", 10));
    }

    @Test
    void poolsAreFoundByTheQueuesOfTheirJobs() {
        liveEntries.replace(List.of(queues("a", Set.of("q", "r")), queues("b", Set.of("q"))), 0);
        assertEquals(List.of("a", "b"), liveEntries.poolsWithJobsOf("q", "host/q/"));
        liveEntries.change(LiveEntries.queuesKey("a"), Optional.of(queues("a", Set.of("r"))), 0);
        assertEquals(List.of("b"), liveEntries.poolsWithJobsOf("q", "host/q/"));
        assertEquals(Set.of("a", "b"), liveEntries.poolsWithJobs());
        liveEntries.change(LiveEntries.queuesKey("b"), Optional.empty(), 0);
        assertEquals(Set.of("a"), liveEntries.poolsWithJobs());
        assertTrue(liveEntries.entries().isEmpty());
        liveEntries.replace(List.of(), 0);
        assertEquals(Set.of(), liveEntries.poolsWithJobs());
    }

    /** Guards against a job that nobody asks for at its address, as a queue of another name has taken that. */
    @Test
    void poolsAreFoundByTheAddressesThatTheQueuesOfTheirJobsHaveHad() {
        StoredQueues first = StoredQueues.NONE.change(Set.of("q"), Map.of("q", "host/q/", "r", "host/r/"));
        StoredQueues later = StoredQueues.decode(first.encode()).change(Set.of("q"), Map.of("q", "host/other/"));
        String key = LiveEntries.queuesKey("a");
        liveEntries.replace(List.of(new StorePort.Item(key, later.encode(), 1, 0)), 0);
        assertEquals(List.of("a"), liveEntries.poolsWithJobsOf("renamed", "host/q/"));
        assertEquals(List.of("a"), liveEntries.poolsWithJobsOf("renamed", "host/other/"));
        assertEquals(List.of("a"), liveEntries.poolsWithJobsOf("q", "host/new/"));
        assertEquals(List.of(), liveEntries.poolsWithJobsOf("renamed", "host/r/"));
    }

    private static StorePort.Item queues(String pool, Set<String> queues) {
        return new StorePort.Item(
                LiveEntries.queuesKey(pool),
                StoredQueues.NONE.change(queues, Map.of()).encode(),
                1,
                0);
    }

    private static StorePort.Item claim(String key, long revision) {
        return new StorePort.Item(key, LiveEntries.encode(READABLE), revision, 1);
    }

    private static StorePort.Item item(LiveEntries.Peer peer) {
        return new StorePort.Item(LiveEntries.entryKey(peer.name()), LiveEntries.encode(peer), 1, 1);
    }
}
