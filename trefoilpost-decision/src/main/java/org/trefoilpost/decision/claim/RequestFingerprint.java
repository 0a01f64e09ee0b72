package org.trefoilpost.decision.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;

/**
 * A hash of 64 bits that detects the reuse of an idempotency key for a different request.
 */
public final class RequestFingerprint {
    private final long hash;

    private RequestFingerprint(long hash) {
        this.hash = hash;
    }

    /**
     * Obtains the fingerprint of a request.
     *
     * @param method  the HTTP method, not null
     * @param path  the path and the query, not null
     * @param bodyHash  a hash of the pool and the body, not null
     * @return the fingerprint, not null
     */
    public static RequestFingerprint of(String method, String path, byte[] bodyHash) {
        MessageDigest digest = Hashes.digest();
        update(digest, method.getBytes(StandardCharsets.UTF_8));
        update(digest, path.getBytes(StandardCharsets.UTF_8));
        update(digest, Objects.requireNonNull(bodyHash, "bodyHash"));
        return new RequestFingerprint(Hashes.finish(digest).getLong());
    }

    /**
     * Obtains a fingerprint from its hash.
     *
     * @param hash  the hash
     * @return the fingerprint, not null
     */
    public static RequestFingerprint ofHash(long hash) {
        return new RequestFingerprint(hash);
    }

    /** Adds a part preceded by the lower 3 bytes of its length, so that different parts never form the same input. */
    private static void update(MessageDigest digest, byte[] part) {
        digest.update((byte) part.length);
        digest.update((byte) (part.length >>> Byte.SIZE));
        digest.update((byte) (part.length >>> (2 * Byte.SIZE)));
        digest.update(part);
    }

    /**
     * Returns the hash.
     *
     * @return the hash
     */
    public long hash() {
        return hash;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof RequestFingerprint other && other.hash == hash;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash);
    }

    /**
     * Returns the hash in hexadecimal digits.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return Long.toHexString(hash);
    }
}
