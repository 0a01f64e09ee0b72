package org.trefoilpost.decision.configuration;

/**
 * Reason for which a change of the configuration was refused. A refused change never comes into force.
 */
public enum ChangeRefusal {
    /** The version in force differs from the one that the operator expected. */
    CONFLICT,
    /** The store could not be read or written in time. */
    STORE_UNAVAILABLE,
    /** The compare-and-swap of the head lost to other changes until the time limit. */
    CONTENTION,
    /** The stored head has a newer format than this version of the program supports. */
    NEWER_FORMAT,
    /** The stored head cannot be parsed. */
    UNREADABLE_HEAD,
    /** This entry has {@link ConfigurationAcceptor#MAX_PENDING_CHANGES} changes pending. */
    BUSY
}
