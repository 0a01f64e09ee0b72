package org.trefoilpost.decision.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * An idempotency key, reduced to a hash of 128 bits, with the time that the key carries if it is a UUID of version 7.
 *
 * <p>Two keys are equal when their hashes are equal.
 */
public final class ClaimKey {
    /** The most characters that the text of a key may have. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern VALID_KEY = Pattern.compile("[!-~]{1," + MAX_LENGTH + "}");
    private static final Pattern UUID_VERSION_7 =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final int UUID_TIME_HEX_DIGITS = 12;
    private static final int HEX_RADIX = 16;
    private static final long NO_TIME = -1;

    private final long high;
    private final long low;
    private final long createdAtMillis;

    private ClaimKey(long high, long low, long createdAtMillis) {
        this.high = high;
        this.low = low;
        this.createdAtMillis = createdAtMillis;
    }

    /**
     * Parses the text of an idempotency key.
     *
     * @param text  the text, 1 to 128 visible ASCII characters, not null
     * @return the key, not null
     * @throws IllegalArgumentException if the text is not a valid key
     */
    public static ClaimKey parse(String text) {
        if (!VALID_KEY.matcher(Objects.requireNonNull(text, "text")).matches()) {
            throw new IllegalArgumentException("an idempotency key has 1 to 128 visible ASCII characters");
        }
        MessageDigest digest = Hashes.digest();
        digest.update(text.getBytes(StandardCharsets.US_ASCII));
        ByteBuffer hash = Hashes.finish(digest);
        return new ClaimKey(hash.getLong(), hash.getLong(), uuidTimeMillis(text));
    }

    /**
     * Obtains a key from the two halves of its hash, without a time of its own.
     *
     * @param high  the upper 64 bits
     * @param low  the lower 64 bits
     * @return the key, not null
     */
    public static ClaimKey ofHash(long high, long low) {
        return new ClaimKey(high, low, NO_TIME);
    }

    private static long uuidTimeMillis(String text) {
        if (!UUID_VERSION_7.matcher(text).matches()) {
            return NO_TIME;
        }
        return Long.parseLong(text.replace("-", "").substring(0, UUID_TIME_HEX_DIGITS), HEX_RADIX);
    }

    /**
     * Returns the upper half of the hash.
     *
     * @return the upper 64 bits
     */
    public long high() {
        return high;
    }

    /**
     * Returns the lower half of the hash.
     *
     * @return the lower 64 bits
     */
    public long low() {
        return low;
    }

    /**
     * Returns the time at which the caller made the key.
     *
     * @return the time in milliseconds since 1970, not null, empty if the key carries none
     */
    public OptionalLong createdAtMillis() {
        return createdAtMillis == NO_TIME ? OptionalLong.empty() : OptionalLong.of(createdAtMillis);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ClaimKey other && other.high == high && other.low == low;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(low);
    }

    /**
     * Returns the hash in hexadecimal digits.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
