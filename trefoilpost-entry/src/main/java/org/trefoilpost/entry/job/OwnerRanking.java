package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Ranks the live entries as the next owner of each pool without an owner. The ranking is deterministic, so entries that
 * see the same state agree on it. Pools are spread by the number that each entry owns, relative to its processor share.
 */
final class OwnerRanking {
    private OwnerRanking() {}

    /**
     * Ranks the live entries for each pool without an owner.
     *
     * @param pools  the names of the pools that must have an owner, not null
     * @param liveEntries  the live entries and the present owners, not null
     * @return the names of the live entries, the best candidate first, for each pool without an owner, not null
     */
    static Map<String, List<String>> of(Set<String> pools, LiveEntries liveEntries) {
        Map<String, Integer> ownedPools = new HashMap<>();
        liveEntries
                .owners()
                .values()
                .forEach(owner -> ownedPools.merge(owner.peer().name(), 1, Integer::sum));
        Map<String, List<String>> ranking = new HashMap<>();
        for (String pool : new TreeSet<>(pools)) {
            if (liveEntries.owner(pool).isEmpty()) {
                List<String> ranked = rank(pool, liveEntries, ownedPools);
                ranking.put(pool, ranked);
                ranked.stream().findFirst().ifPresent(first -> ownedPools.merge(first, 1, Integer::sum));
            }
        }
        return ranking;
    }

    private static List<String> rank(String pool, LiveEntries liveEntries, Map<String, Integer> ownedPools) {
        List<LiveEntries.Peer> peers = new ArrayList<>(liveEntries.entries());
        peers.sort(Comparator.comparingDouble((LiveEntries.Peer peer) -> load(peer, ownedPools))
                .thenComparingInt(peer -> (pool + '|' + peer.name()).hashCode()));
        return peers.stream().map(LiveEntries.Peer::name).toList();
    }

    private static double load(LiveEntries.Peer peer, Map<String, Integer> ownedPools) {
        return (ownedPools.getOrDefault(peer.name(), 0) + 1.0) / peer.cpuMillis();
    }
}
