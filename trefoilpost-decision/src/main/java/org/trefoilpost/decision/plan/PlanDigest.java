package org.trefoilpost.decision.plan;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of a plan's canonical JSON, by which the plan is confirmed and found.
 */
public final class PlanDigest implements Comparable<PlanDigest> {
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    private final String text;

    private PlanDigest(String text) {
        this.text = text;
    }

    /**
     * Computes the digest of a document.
     *
     * @param document  the canonical JSON, not null
     * @return the digest, not null
     */
    public static PlanDigest of(byte[] document) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(document);
            return new PlanDigest(HexFormat.of().formatHex(hash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from the runtime", e);
        }
    }

    /**
     * Computes the digest of a text.
     *
     * @param text  the text, not null
     * @return the digest, not null
     */
    public static PlanDigest of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Parses a digest.
     *
     * @param text  64 lower-case hexadecimal digits, not null
     * @return the digest, not null
     * @throws IllegalArgumentException if the text is not a digest
     */
    public static PlanDigest parse(String text) {
        if (!PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException("must be 64 lower-case hexadecimal digits");
        }
        return new PlanDigest(text);
    }

    /**
     * Returns the 64 hexadecimal digits.
     *
     * @return the text, not null
     */
    public String text() {
        return text;
    }

    @Override
    public int compareTo(PlanDigest other) {
        return text.compareTo(other.text);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanDigest other && other.text.equals(text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    /**
     * Returns the 64 hexadecimal digits.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return text;
    }
}
