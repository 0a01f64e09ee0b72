package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
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

    private static StorePort.Item item(LiveEntries.Peer peer) {
        return new StorePort.Item(LiveEntries.entryKey(peer.name()), LiveEntries.encode(peer), 1, 1);
    }
}
