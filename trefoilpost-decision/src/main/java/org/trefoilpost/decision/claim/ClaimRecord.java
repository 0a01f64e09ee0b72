package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * A claim as the journal stores it: a key, the fingerprint of its request and the time of the claim.
 */
public final class ClaimRecord {
    private final ClaimKey key;
    private final RequestFingerprint fingerprint;
    private final long claimedAtMillis;

    private ClaimRecord(ClaimKey key, RequestFingerprint fingerprint, long claimedAtMillis) {
        this.key = Objects.requireNonNull(key, "key");
        this.fingerprint = Objects.requireNonNull(fingerprint, "fingerprint");
        this.claimedAtMillis = claimedAtMillis;
    }

    /**
     * Obtains a claim record.
     *
     * @param key  the idempotency key, not null
     * @param fingerprint  the fingerprint of the request, not null
     * @param claimedAtMillis  the time of the claim in milliseconds since 1970
     * @return the claim record, not null
     */
    public static ClaimRecord of(ClaimKey key, RequestFingerprint fingerprint, long claimedAtMillis) {
        return new ClaimRecord(key, fingerprint, claimedAtMillis);
    }

    /**
     * Returns the idempotency key.
     *
     * @return the key, not null
     */
    public ClaimKey key() {
        return key;
    }

    /**
     * Returns the fingerprint of the request.
     *
     * @return the fingerprint, not null
     */
    public RequestFingerprint fingerprint() {
        return fingerprint;
    }

    /**
     * Returns the time of the claim.
     *
     * @return the time in milliseconds since 1970
     */
    public long claimedAtMillis() {
        return claimedAtMillis;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ClaimRecord other
                && other.key.equals(key)
                && other.fingerprint.equals(fingerprint)
                && other.claimedAtMillis == claimedAtMillis;
    }

    @Override
    public int hashCode() {
        return key.hashCode();
    }

    /**
     * Returns the key and the time of the claim.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return key + "@" + claimedAtMillis;
    }
}
