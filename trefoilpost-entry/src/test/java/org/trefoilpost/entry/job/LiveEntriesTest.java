package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
        liveEntries.replace(List.of(item(READABLE), item(UNREADABLE)), 0);
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

    private static StorePort.Item claim(String key, long revision) {
        return new StorePort.Item(key, LiveEntries.encode(READABLE), revision, 1);
    }

    private static StorePort.Item item(LiveEntries.Peer peer) {
        return new StorePort.Item(LiveEntries.entryKey(peer.name()), LiveEntries.encode(peer), 1, 1);
    }
}
