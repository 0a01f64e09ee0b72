package org.trefoilpost.decision.claim;

/**
 * The progress of this entry in taking over a shard.
 */
enum JournalPhase {
    /** This entry does not own the shard and is not taking it over. */
    RELEASED,
    /** The tail is being read, and rewritten with a higher epoch to fence the former owner. */
    SEALING,
    /** The tail has the epoch of this entry, and the archives are being read. */
    RECOVERING,
    /** This entry owns the shard and has its claims in memory. */
    OWNED
}
