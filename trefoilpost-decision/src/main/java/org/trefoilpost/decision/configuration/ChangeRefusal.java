package org.trefoilpost.decision.configuration;

/**
 * Why a change of the configuration was refused; a refused change never comes into force.
 */
public enum ChangeRefusal {
    /** Another version is in force than the operator expected. */
    CONFLICT,
    /** The store could not be read or written in time. */
    STORE_UNAVAILABLE,
    /** Other changes were accepted first each time, until the time was over. */
    CONTENTION,
    /** The head has a newer format than this program knows. */
    NEWER_FORMAT,
    /** The head can't be read. */
    UNREADABLE_HEAD,
    /** Too many changes are under way at this entry. */
    BUSY
}
