package org.trefoilpost.decision.membership;

/**
 * What is wrong with a heartbeat's frame.
 */
public enum HeartbeatFault {
    /** The frame is larger than a heartbeat may be. */
    TOO_LARGE,
    /** The frame is of a format that this codec does not know. */
    UNKNOWN_FORMAT,
    /** The frame ends too early, or a field has another type. */
    MALFORMED,
    /** A field has a value that it must not have. */
    INVALID_VALUE,
    /** Bytes follow the heartbeat. */
    TRAILING_BYTES
}
