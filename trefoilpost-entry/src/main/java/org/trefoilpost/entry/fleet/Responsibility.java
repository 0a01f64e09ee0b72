package org.trefoilpost.entry.fleet;

import java.util.Set;
import org.trefoilpost.decision.claim.ShardMap;
import org.trefoilpost.model.EntryId;

/**
 * Spreads what needs one entry's care over the live entries. The duty's thread owns it.
 *
 * <p>Two entries with different views may both think that something is theirs; the revisions of the documents settle that.
 */
final class Responsibility {
    private static final int SHARDS = 1_024;

    private final EntryId self;
    private final FleetPorts ports;
    private Set<EntryId> mapped = Set.of();
    private ShardMap entries;

    Responsibility(EntryId self, FleetPorts ports) {
        this.self = self;
        this.ports = ports;
    }

    /**
     * Returns whether this entry looks after something.
     *
     * @param name  the name of the thing, not null
     * @return true if it does
     */
    boolean isOurs(String name) {
        Set<EntryId> live = ports.liveEntries();
        if (!live.equals(mapped)) {
            entries = ShardMap.of(SHARDS, live);
            mapped = live;
        }
        int shard = Math.floorMod(name.hashCode(), SHARDS);
        return entries.preferredOwner(shard).map(self::equals).orElse(true);
    }
}
