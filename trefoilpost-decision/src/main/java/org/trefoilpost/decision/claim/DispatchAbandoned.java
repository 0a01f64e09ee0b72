package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports that a dispatched request did not run and that this entry will never send it.
 */
public final class DispatchAbandoned implements ClaimEvent {
    private final ClaimKey key;

    private DispatchAbandoned(ClaimKey key) {
        this.key = Objects.requireNonNull(key, "key");
    }

    /**
     * Obtains an instance.
     *
     * @param key  the idempotency key, not null
     * @return the instance, not null
     */
    public static DispatchAbandoned of(ClaimKey key) {
        return new DispatchAbandoned(key);
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
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DispatchAbandoned(" + key + ")";
    }
}
