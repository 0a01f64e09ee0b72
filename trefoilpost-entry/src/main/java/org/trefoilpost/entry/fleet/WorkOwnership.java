package org.trefoilpost.entry.fleet;

import java.util.Set;
import org.trefoilpost.decision.claim.ShardMap;
import org.trefoilpost.model.EntryId;

/**
 * Spreads what needs one entry's care over the live entries. The duty's thread owns it.
 *
 * <p>Two entries with different views may both think that something is theirs; the revisions of the documents settle that.
 */
final class WorkOwnership {
    private static final int SHARD_COUNT = 1_024;

    private final EntryId self;
    private final FleetPorts ports;
    private Set<EntryId> shardedEntries = Set.of();
    private ShardMap shardMap;

    WorkOwnership(EntryId self, FleetPorts ports) {
        this.self = self;
        this.ports = ports;
    }

    /**
     * Returns whether this entry looks after something.
     *
     * @param name  the name of the thing, not null
     * @return true if it does
     */
    boolean isOwnedHere(String name) {
        Set<EntryId> live = ports.liveEntries();
        if (!live.equals(shardedEntries)) {
            shardMap = ShardMap.of(SHARD_COUNT, live);
            shardedEntries = live;
        }
        int shard = Math.floorMod(name.hashCode(), SHARD_COUNT);
        return shardMap.preferredOwner(shard).map(self::equals).orElse(true);
    }
}
