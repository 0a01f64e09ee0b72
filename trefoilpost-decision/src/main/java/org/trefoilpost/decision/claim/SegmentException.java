package org.trefoilpost.decision.claim;

/**
 * Thrown when the bytes of a segment cannot be decoded.
 */
final class SegmentException extends Exception {
    private final JournalFault fault;

    SegmentException(JournalFault fault, String message) {
        super(message);
        this.fault = fault;
    }

    SegmentException(JournalFault fault, String message, Throwable cause) {
        super(message, cause);
        this.fault = fault;
    }

    JournalFault fault() {
        return fault;
    }
}
