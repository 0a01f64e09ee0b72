package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Permits the entry to send a request to a target. The entry returns the verdict to the caller and reports the outcome
 * to the shard.
 */
public final class Dispatch implements RequestAction {
    private final String requestId;
    private final ClaimKey key;
    private final long sendBeforeMillis;

    private Dispatch(String requestId, ClaimKey key, long sendBeforeMillis) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
        this.key = Objects.requireNonNull(key, "key");
        this.sendBeforeMillis = sendBeforeMillis;
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request, not null
     * @param key  the idempotency key, not null
     * @param sendBeforeMillis  the time from which the request must no longer be sent, in milliseconds since 1970
     * @return the instance, not null
     */
    public static Dispatch of(String requestId, ClaimKey key, long sendBeforeMillis) {
        return new Dispatch(requestId, key, sendBeforeMillis);
    }

    @Override
    public String requestId() {
        return requestId;
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
     * Returns the time from which the request must no longer be sent.
     *
     * @return the time in milliseconds since 1970, exclusive
     */
    public long sendBeforeMillis() {
        return sendBeforeMillis;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Dispatch(" + requestId + ", " + key + ", " + sendBeforeMillis + ")";
    }
}
