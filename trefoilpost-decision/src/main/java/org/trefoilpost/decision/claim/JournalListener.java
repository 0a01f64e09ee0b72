package org.trefoilpost.decision.claim;

import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.EntryId;

/**
 * What the journal of a shard needs from the claims, and tells them.
 */
interface JournalListener {
    /** Returns whether there are claims to write. */
    boolean hasUnwrittenClaims();

    /** Takes the claims of the next write, at most a number of them. */
    List<ClaimRecord> takeBatch(int maxClaims, long nowMillis);

    /** Tells that the claims of a write are durable under this entry's ownership. */
    void batchDurable(List<ClaimRecord> batch, long nowMillis);

    /** Tells that the last write never took effect and that the journal is being recovered anew. */
    void recoveryStarted();

    /** Tells that this entry owns the shard, with the claims that stay in the journal and those that must be rewritten. */
    void recovered(long epoch, List<ClaimRecord> durable, List<ClaimRecord> stranded);

    /** Tells that this entry does not own the shard. */
    void ownershipLost(long epoch, Optional<EntryId> successor);

    /** Tells that the journal is older than what this entry knows of it. */
    void storeRestored(long foundEpoch, long knownEpoch);

    /** Tells that a value of the journal cannot be used. */
    void journalRefused(String storeKey, JournalFault fault);
}
