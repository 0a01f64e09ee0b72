package org.trefoilpost.decision.claim;

/**
 * How far this entry is in owning a shard.
 */
enum JournalPhase {
    /** This entry neither owns the shard nor tries to. */
    RELEASED,
    /** The tail is being read and written with a higher epoch. */
    SEALING,
    /** The tail is this entry's, and its archives are being read. */
    RECOVERING,
    /** This entry owns the shard and knows its claims. */
    OWNED
}
