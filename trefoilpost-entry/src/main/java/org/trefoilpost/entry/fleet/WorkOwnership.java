package org.trefoilpost.entry.fleet;

import java.util.Set;
import org.trefoilpost.decision.claim.ShardMap;
import org.trefoilpost.model.EntryId;

/**
 * Assigns each plan, ledger, rack and repair to one of the live entries by a shard map. Confined to the fleet service's
 * thread.
 *
 * <p>Entries with different views of the live entries may both own the same name. This is safe because documents are
 * written by compare-and-swap on their revisions.
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
     * Returns whether this entry owns a name.
     *
     * @param name  the plan's digest, the ledger's key, the rack or the name of a repair, not null
     * @return true if this entry owns it, or if no entry is live
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
