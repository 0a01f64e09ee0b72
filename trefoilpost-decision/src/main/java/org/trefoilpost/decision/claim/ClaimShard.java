package org.trefoilpost.decision.claim;

import java.util.List;
import org.trefoilpost.model.EntryId;

/**
 * The claims of one shard, as one entry sees them.
 */
public final class ClaimShard {
    private ClaimShard() {}

    /**
     * Obtains a shard that this entry does not own yet.
     *
     * @param shard  the number of the shard
     * @param self  this entry, not null
     * @param incarnation  a number that no other process of any entry uses, drawn at random at its start
     * @param settings  the limits, not null
     * @return the shard, not null
     */
    public static ClaimShard of(int shard, EntryId self, long incarnation, ClaimSettings settings) {
        return new ClaimShard();
    }

    /**
     * Decides what follows from an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the actions in their order, not null
     */
    public List<ClaimAction> step(ClaimEvent event, long nowMillis) {
        return List.of();
    }
}
