package org.trefoilpost.decision.claim;

import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.EntryId;

/**
 * Supplies the journal of a shard with claims to write, and is notified of changes of the journal.
 */
interface JournalListener {
    /** Returns whether there are claims that are not in the journal. */
    boolean hasUnwrittenClaims();

    /** Removes and returns the claims of the next write, at most the given number, possibly none. */
    List<ClaimRecord> takeBatch(int maxClaims, long nowMillis);

    /** Called when the claims of a write are durable while this entry owns the shard. */
    void batchDurable(List<ClaimRecord> batch, long nowMillis);

    /** Called when recovery begins. A write that was in flight did not take effect and never will. */
    void recoveryStarted();

    /**
     * Called when this entry owns the shard and has read its journal.
     *
     * @param epoch  the epoch of the ownership
     * @param durable  the claims that are in the journal, not null
     * @param toRewrite  the claims that were read from archives to which the journal will no longer refer, not null
     */
    void recovered(long epoch, List<ClaimRecord> durable, List<ClaimRecord> toRewrite);

    /** Called when this entry releases the shard or fails to take it over. The successor is empty if it is unknown. */
    void ownershipLost(long epoch, Optional<EntryId> successor);

    /** Called when the journal is older than the state that this entry knows, as after a restore of the store. */
    void storeRestored(long foundEpoch, long knownEpoch);

    /** Called when a segment of the journal cannot be used. */
    void journalRefused(String storeKey, JournalFault fault);
}
