package org.trefoilpost.decision.membership;

import java.util.Objects;

/**
 * Signals a heartbeat that cannot be encoded or decoded.
 */
public final class HeartbeatException extends Exception {
    private static final long serialVersionUID = 1L;

    private final HeartbeatFault fault;

    /**
     * Constructs the exception.
     *
     * @param fault  what is wrong, not null
     * @param message  the message, not null
     */
    public HeartbeatException(HeartbeatFault fault, String message) {
        super(message);
        this.fault = Objects.requireNonNull(fault, "fault");
    }

    /**
     * Returns what is wrong.
     *
     * @return the fault, not null
     */
    public HeartbeatFault fault() {
        return fault;
    }
}
