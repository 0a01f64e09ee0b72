package org.trefoilpost.verify.harness;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One request of a caller, with a path and a body that no other request has.
 */
public final class CallerRequest {
    private static final AtomicLong SEQUENCE = new AtomicLong();

    private final String pool;
    private final String targetPath;
    private final String body;
    private final Map<String, String> headers;

    private CallerRequest(String pool, String targetPath, String body, Map<String, String> headers) {
        this.pool = pool;
        this.targetPath = targetPath;
        this.body = body;
        this.headers = headers;
    }

    /**
     * Obtains a request with a path of its own.
     *
     * @param pool  the pool, not null
     * @return the request, not null
     */
    public static CallerRequest to(String pool) {
        long number = SEQUENCE.incrementAndGet();
        return new CallerRequest(pool, "/quote/" + number, "lot " + number, Map.of());
    }

    /**
     * Returns a copy with a query.
     *
     * @param query  the query, not null
     * @return the copy, not null
     */
    public CallerRequest withQuery(String query) {
        return new CallerRequest(pool, targetPath + "?" + query, body, headers);
    }

    /**
     * Returns a copy with a body.
     *
     * @param newBody  the body, not null
     * @return the copy, not null
     */
    public CallerRequest withBody(String newBody) {
        return new CallerRequest(pool, targetPath, newBody, headers);
    }

    /**
     * Returns a copy with a header.
     *
     * @param name  the header's name, not null
     * @param value  the header's value, not null
     * @return the copy, not null
     */
    public CallerRequest withHeader(String name, String value) {
        Map<String, String> copy = new LinkedHashMap<>(headers);
        copy.put(name, value);
        return new CallerRequest(pool, targetPath, body, copy);
    }

    /**
     * Returns a copy that may run more than once.
     *
     * @return the copy, not null
     */
    public CallerRequest repeatable() {
        return withHeader("Trefoilpost-Repeatable", "true");
    }

    /**
     * Returns a copy with an idempotency key.
     *
     * @param key  the key, not null
     * @return the copy, not null
     */
    public CallerRequest withKey(String key) {
        return withHeader("Idempotency-Key", key);
    }

    public Optional<String> key() {
        return Optional.ofNullable(headers.get("Idempotency-Key"));
    }

    public String pool() {
        return pool;
    }

    public String targetPath() {
        return targetPath;
    }

    public String body() {
        return body;
    }

    public Map<String, String> headers() {
        return headers;
    }

    String bodySha256() {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(body.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing", e);
        }
    }
}
