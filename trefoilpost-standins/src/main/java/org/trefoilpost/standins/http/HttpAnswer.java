package org.trefoilpost.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The answer to a call, or the way in which the answer fails to reach the caller.
 */
public final class HttpAnswer {
    private static final byte[] EMPTY = new byte[0];
    private static final HttpAnswer LOST = new HttpAnswer(Delivery.LOST, 0, Map.of(), EMPTY);

    private final Delivery delivery;
    private final int status;
    private final Map<String, String> headers;
    private final byte[] body;

    private HttpAnswer(Delivery delivery, int status, Map<String, String> headers, byte[] body) {
        this.delivery = delivery;
        this.status = status;
        this.headers = headers;
        this.body = body;
    }

    /**
     * Obtains an answer without a body.
     *
     * @param status  the status code
     * @return the answer, not null
     */
    public static HttpAnswer of(int status) {
        return of(status, EMPTY);
    }

    /**
     * Obtains an answer with a body.
     *
     * @param status  the status code
     * @param body  the body, not null
     * @return the answer, not null
     */
    public static HttpAnswer of(int status, byte[] body) {
        return new HttpAnswer(Delivery.WHOLE, status, Map.of(), Objects.requireNonNull(body, "body"));
    }

    /**
     * Obtains an answer with a JSON body.
     *
     * @param status  the status code
     * @param node  the body, not null
     * @return the answer, not null
     */
    public static HttpAnswer json(int status, JsonNode node) {
        return of(status, Json.bytes(node)).with("Content-Type", "application/json");
    }

    /**
     * Obtains the answer that never comes: the connection is closed instead.
     *
     * @return the answer, not null
     */
    public static HttpAnswer lost() {
        return LOST;
    }

    /**
     * Returns a copy of this answer with a further header.
     *
     * @param name  the header's name, not null
     * @param value  the header's value, not null
     * @return the copy, not null
     */
    public HttpAnswer with(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name, value);
        return new HttpAnswer(delivery, status, more, body);
    }

    /**
     * Returns a copy of this answer whose connection is closed after the headers and half of the body.
     *
     * @return the copy, not null
     */
    public HttpAnswer broken() {
        return new HttpAnswer(Delivery.BROKEN, status, headers, body);
    }

    /**
     * Returns the status code.
     *
     * @return the status code, 0 for a lost answer
     */
    public int status() {
        return status;
    }

    /**
     * Returns the body, which the receiver must not change.
     *
     * @return the body's bytes, not null
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns a header.
     *
     * @param name  the header's name as it was given, not null
     * @return the value, not null, empty if the answer lacks it
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    Delivery delivery() {
        return delivery;
    }

    Map<String, String> headers() {
        return headers;
    }

    /**
     * How much of an answer reaches the caller.
     */
    enum Delivery {
        /** The caller gets the whole answer. */
        WHOLE,
        /** The connection is closed in the middle of the answer. */
        BROKEN,
        /** The connection is closed without an answer. */
        LOST
    }
}
