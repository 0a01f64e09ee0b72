package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports a request with an idempotency key that is to be dispatched, or answered if the key is claimed already.
 */
public final class ClaimRequested implements ClaimEvent {
    private final String requestId;
    private final ClaimKey key;
    private final RequestFingerprint fingerprint;
    private final long deadlineMillis;

    private ClaimRequested(String requestId, ClaimKey key, RequestFingerprint fingerprint, long deadlineMillis) {
        this.requestId = Objects.requireNonNull(requestId, "requestId");
        this.key = Objects.requireNonNull(key, "key");
        this.fingerprint = Objects.requireNonNull(fingerprint, "fingerprint");
        this.deadlineMillis = deadlineMillis;
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request, not null
     * @param key  the idempotency key, not null
     * @param fingerprint  the fingerprint of the request, not null
     * @param deadlineMillis  the time after which the caller no longer waits, in milliseconds since 1970
     * @return the instance, not null
     */
    public static ClaimRequested of(
            String requestId, ClaimKey key, RequestFingerprint fingerprint, long deadlineMillis) {
        return new ClaimRequested(requestId, key, fingerprint, deadlineMillis);
    }

    /**
     * Returns the id of the request.
     *
     * @return the id of the request, not null
     */
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
     * Returns the fingerprint of the request.
     *
     * @return the fingerprint of the request, not null
     */
    public RequestFingerprint fingerprint() {
        return fingerprint;
    }

    /**
     * Returns the time after which the caller no longer waits.
     *
     * @return the deadline in milliseconds since 1970
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ClaimRequested(" + requestId + ", " + key + ", " + fingerprint + ", " + deadlineMillis + ")";
    }
}
