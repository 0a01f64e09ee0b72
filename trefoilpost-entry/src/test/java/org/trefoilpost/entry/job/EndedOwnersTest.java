package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EndedOwnersTest {
    private static final LiveEntries.Peer DEAD = new LiveEntries.Peer("entry-2", "127.0.0.1:2", "first", 750);
    private static final LiveEntries.Peer SILENT = new LiveEntries.Peer("entry-3", "127.0.0.1:3", "first", 750);
    private static final long DEAD_LEASE = 42;

    private final MemoryStore store = new MemoryStore();
    private final TestService service = new TestService(store, null, null);
    private final LiveEntries liveEntries = new LiveEntries();
    private final Set<LiveEntries.Peer> refusing = new HashSet<>();
    private final EndedOwners endedOwners = new EndedOwners(service.context(), refusing::contains);

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void leaseOfAnOwnerWhoseMachineRefusesConnectionsIsEndedOnce() {
        own();
        refusing.add(DEAD);
        for (long millis = 0; millis < 1_000; millis += 20) {
            endedOwners.tick(liveEntries, millis);
        }
        assertEquals(List.of(DEAD_LEASE), store.endedLeases());
    }

    @Test
    void leaseOfASilentOwnerIsLeftToExpire() {
        own();
        for (long millis = 0; millis < 5_000; millis += 20) {
            endedOwners.tick(liveEntries, millis);
        }
        assertEquals(List.of(), store.endedLeases());
    }

    @Test
    void refusalThatEndsAtOnceIsNoEvidence() {
        own();
        refusing.add(DEAD);
        endedOwners.tick(liveEntries, 0);
        refusing.clear();
        endedOwners.tick(liveEntries, 20);
        refusing.add(DEAD);
        endedOwners.tick(liveEntries, 2_000);
        assertEquals(List.of(), store.endedLeases());
    }

    private void own() {
        liveEntries.replace(
                List.of(
                        new StorePort.Item(LiveEntries.ownerKey("a"), LiveEntries.encode(DEAD), 9, DEAD_LEASE),
                        new StorePort.Item(LiveEntries.ownerKey("b"), LiveEntries.encode(SILENT), 10, 43)),
                0);
    }
}
