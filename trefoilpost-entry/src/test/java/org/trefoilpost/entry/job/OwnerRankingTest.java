package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class OwnerRankingTest {
    private static final Set<String> POOLS = Set.of("a", "b", "c", "d");

    @Test
    void poolsWithoutOwnerAreSpreadOverEntries() {
        Map<String, List<String>> ranking = OwnerRanking.of(POOLS, entries(6, 0));
        Set<String> bestEntries = new HashSet<>();
        ranking.values().forEach(ranked -> bestEntries.add(ranked.get(0)));
        assertEquals(4, bestEntries.size());
        ranking.values().forEach(ranked -> assertEquals(6, ranked.size()));
    }

    @Test
    void largeEntriesRankBeforeSmallOnes() {
        Map<String, List<String>> ranking = OwnerRanking.of(POOLS, entries(2, 30));
        ranking.values().forEach(ranked -> assertTrue(ranked.get(0).startsWith("large"), ranked.get(0)));
    }

    @Test
    void poolsWithOwnerAreNotRanked() {
        LiveEntries liveEntries = entries(2, 0);
        LiveEntries.Peer owner = liveEntries.entries().iterator().next();
        liveEntries.change(
                LiveEntries.ownerKey("a"),
                Optional.of(new StorePort.Item(LiveEntries.ownerKey("a"), LiveEntries.encode(owner), 9, 1)),
                0);
        assertEquals(Set.of("b", "c", "d"), OwnerRanking.of(POOLS, liveEntries).keySet());
    }

    private static LiveEntries entries(int large, int small) {
        List<StorePort.Item> items = new ArrayList<>();
        for (int i = 0; i < large + small; i++) {
            String name = (i < large ? "large-" : "small-") + i;
            LiveEntries.Peer peer = new LiveEntries.Peer(name, "10.0.0.1:1", "x", i < large ? 1_500 : 360);
            items.add(new StorePort.Item(LiveEntries.entryKey(name), LiveEntries.encode(peer), i + 1, 1));
        }
        LiveEntries liveEntries = new LiveEntries();
        liveEntries.replace(items, 0);
        return liveEntries;
    }
}
