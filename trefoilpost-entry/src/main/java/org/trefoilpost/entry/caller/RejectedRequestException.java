package org.trefoilpost.entry.caller;

import java.util.Objects;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Thrown when a request is refused before it is submitted to its pool.
 */
final class RejectedRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final RefusalReason reason;

    /**
     * Constructs an exception without a stack trace.
     *
     * @param reason  the reason of the refusal, not null
     * @param detail  the detail that is reported to the caller, not null
     */
    RejectedRequestException(RefusalReason reason, String detail) {
        super(detail, null, false, false);
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns the reason of the refusal.
     *
     * @return the reason, not null
     */
    RefusalReason reason() {
        return reason;
    }
}
