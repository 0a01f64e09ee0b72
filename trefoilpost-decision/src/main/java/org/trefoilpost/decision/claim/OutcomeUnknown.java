package org.trefoilpost.decision.claim;

import java.util.Objects;
import org.trefoilpost.model.verdict.UncertaintyReason;

/**
 * Reports that a dispatched request may have run and that no complete answer will arrive.
 */
public final class OutcomeUnknown implements ClaimEvent {
    private final ClaimKey key;
    private final UncertaintyReason reason;

    private OutcomeUnknown(ClaimKey key, UncertaintyReason reason) {
        this.key = Objects.requireNonNull(key, "key");
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /**
     * Obtains an instance.
     *
     * @param key  the idempotency key, not null
     * @param reason  the reason of the uncertainty, not null
     * @return the instance, not null
     */
    public static OutcomeUnknown of(ClaimKey key, UncertaintyReason reason) {
        return new OutcomeUnknown(key, reason);
    }

    /**
     * Returns the idempotency key.
     *
     * @return the idempotency key, not null
     */
    public ClaimKey key() {
        return key;
    }

    /**
     * Returns the reason of the uncertainty.
     *
     * @return the reason of the uncertainty, not null
     */
    public UncertaintyReason reason() {
        return reason;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "OutcomeUnknown(" + key + ", " + reason + ")";
    }
}
