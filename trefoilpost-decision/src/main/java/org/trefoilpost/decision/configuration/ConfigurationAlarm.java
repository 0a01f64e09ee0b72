package org.trefoilpost.decision.configuration;

/**
 * Fault of the stored configuration that needs an operator's attention.
 */
public enum ConfigurationAlarm {
    /** The store holds a lower version than the one in force, as after a restore from a backup. */
    STORE_BEHIND,
    /** The store or a peer has the version in force from a different change. */
    DIVERGED,
    /** A document has a newer format than this version of the program supports. */
    NEWER_FORMAT,
    /** A document cannot be parsed. */
    UNREADABLE
}
