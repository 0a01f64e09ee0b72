package org.trefoilpost.decision.membership;

/**
 * Why a heartbeat cannot be encoded or decoded.
 */
public enum HeartbeatFault {
    /** The frame exceeds {@link HeartbeatCodec#MAX_BYTES}. */
    TOO_LARGE,
    /** The frame has a format number other than {@link HeartbeatCodec#FORMAT}. */
    UNKNOWN_FORMAT,
    /** The frame is truncated, or a field has an unexpected type. */
    MALFORMED,
    /** A field has an invalid value, or an array has an unexpected number of fields. */
    INVALID_VALUE,
    /** The frame has further bytes after the heartbeat. */
    TRAILING_BYTES
}
