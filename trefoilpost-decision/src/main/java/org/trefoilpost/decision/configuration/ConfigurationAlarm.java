package org.trefoilpost.decision.configuration;

/**
 * A state of the stored configuration that operators have to look at.
 */
public enum ConfigurationAlarm {
    /** The store holds a lower version than the one in force, as after a restore. */
    STORE_BEHIND,
    /** The store or a peer holds another configuration of the same version. */
    DIVERGED,
    /** A document has a format that this program does not know yet. */
    NEWER_FORMAT,
    /** A document can't be read. */
    UNREADABLE
}
