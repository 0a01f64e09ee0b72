package org.trefoilpost.entry.caller;

import java.util.Objects;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * A request that is refused before it goes to its pool.
 */
final class RejectedRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final RefusalReason reason;

    /**
     * Constructs a rejection.
     *
     * @param reason  the reason, not null
     * @param detail  what is wrong, for the caller, not null
     */
    RejectedRequestException(RefusalReason reason, String detail) {
        super(detail, null, false, false);
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns the reason.
     *
     * @return the reason, not null
     */
    RefusalReason reason() {
        return reason;
    }
}
