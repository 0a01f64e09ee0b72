package org.trefoilpost.decision.membership;

import java.util.Objects;

/**
 * Thrown when a heartbeat cannot be encoded or decoded.
 */
public final class HeartbeatException extends Exception {
    private static final long serialVersionUID = 1L;

    private final HeartbeatFault fault;

    /**
     * Constructs the exception.
     *
     * @param fault  the kind of fault, not null
     * @param message  the value found and what is expected, not null
     */
    public HeartbeatException(HeartbeatFault fault, String message) {
        super(message);
        this.fault = Objects.requireNonNull(fault, "fault");
    }

    /**
     * Returns the kind of fault.
     *
     * @return the fault, not null
     */
    public HeartbeatFault fault() {
        return fault;
    }
}
