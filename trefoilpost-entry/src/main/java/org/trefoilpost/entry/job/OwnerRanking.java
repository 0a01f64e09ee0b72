package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Ranks the entries for each pool without an owner. All entries that see the same compute the same: pools are spread by
 * what entries own already against their size.
 */
final class OwnerRanking {
    private OwnerRanking() {}

    /**
     * Ranks the entries.
     *
     * @param pools  the pools that are to have an owner
     * @param live  the living entries and the owners
     * @return the names of the entries, the best first, for each pool without an owner
     */
    static Map<String, List<String>> of(Set<String> pools, LiveEntries live) {
        Map<String, Integer> owned = new HashMap<>();
        live.owners().values().forEach(owner -> owned.merge(owner.peer().name(), 1, Integer::sum));
        Map<String, List<String>> ranking = new HashMap<>();
        for (String pool : new TreeSet<>(pools)) {
            if (live.owner(pool).isEmpty()) {
                List<String> ranked = rank(pool, live, owned);
                ranking.put(pool, ranked);
                ranked.stream().findFirst().ifPresent(first -> owned.merge(first, 1, Integer::sum));
            }
        }
        return ranking;
    }

    private static List<String> rank(String pool, LiveEntries live, Map<String, Integer> owned) {
        List<LiveEntries.Peer> peers = new ArrayList<>(live.entries());
        peers.sort(Comparator.comparingDouble((LiveEntries.Peer peer) -> load(peer, owned))
                .thenComparingInt(peer -> (pool + '|' + peer.name()).hashCode()));
        return peers.stream().map(LiveEntries.Peer::name).toList();
    }

    private static double load(LiveEntries.Peer peer, Map<String, Integer> owned) {
        return (owned.getOrDefault(peer.name(), 0) + 1.0) / peer.cpuMillis();
    }
}
