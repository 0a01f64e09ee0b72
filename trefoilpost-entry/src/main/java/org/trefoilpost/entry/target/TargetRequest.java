package org.trefoilpost.entry.target;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.trefoilpost.model.Endpoint;

/**
 * An immutable request to a target.
 */
public final class TargetRequest {
    private final String exchangeId;
    private final Endpoint endpoint;
    private final int connectionLimit;
    private final String method;
    private final String path;
    private final List<Map.Entry<String, String>> headers;
    private final byte[] body;
    private final long timeoutMillis;

    private TargetRequest(Builder builder) {
        this.exchangeId = Objects.requireNonNull(builder.exchangeId, "exchangeId");
        this.endpoint = Objects.requireNonNull(builder.endpoint, "endpoint");
        this.connectionLimit = builder.connectionLimit;
        this.method = Objects.requireNonNull(builder.method, "method");
        this.path = Objects.requireNonNull(builder.path, "path");
        this.headers = List.copyOf(builder.headers);
        this.body = builder.body;
        this.timeoutMillis = builder.timeoutMillis;
    }

    /**
     * Returns a builder without values.
     *
     * @return the builder, not null
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the identifier of the exchange; a response that carries another one is rejected.
     *
     * @return the identifier, not null
     */
    public String exchangeId() {
        return exchangeId;
    }

    /**
     * Returns the endpoint at which the target accepts requests.
     *
     * @return the endpoint, not null
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the maximum number of connections that this entry may open to the target.
     *
     * @return the limit, positive
     */
    public int connectionLimit() {
        return connectionLimit;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method, not null
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path with its query.
     *
     * @return the path, not null
     */
    public String path() {
        return path;
    }

    /**
     * Returns the end-to-end headers.
     *
     * @return the unmodifiable headers, not null
     */
    public List<Map.Entry<String, String>> headers() {
        return headers;
    }

    /**
     * Returns the body, which must not be changed.
     *
     * @return the body, not null
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the time that remains until the deadline.
     *
     * @return the time in milliseconds, positive
     */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    /**
     * Returns the exchange's identifier, the method, the path and the endpoint.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return exchangeId + " " + method + " " + path + " to " + endpoint;
    }

    /**
     * Builder of target requests.
     */
    public static final class Builder {
        private String exchangeId;
        private Endpoint endpoint;
        private int connectionLimit = 1;
        private String method;
        private String path;
        private List<Map.Entry<String, String>> headers = List.of();
        private byte[] body = {};
        private long timeoutMillis = 1;

        private Builder() {}

        /**
         * Sets the exchange's identifier.
         *
         * @param newExchangeId  the identifier, not null
         * @return this builder, not null
         */
        public Builder exchangeId(String newExchangeId) {
            this.exchangeId = newExchangeId;
            return this;
        }

        /**
         * Sets the endpoint at which the target accepts requests.
         *
         * @param newEndpoint  the endpoint, not null
         * @return this builder, not null
         */
        public Builder endpoint(Endpoint newEndpoint) {
            this.endpoint = newEndpoint;
            return this;
        }

        /**
         * Sets the maximum number of connections that this entry may open to the target; default 1.
         *
         * @param newLimit  the limit, positive
         * @return this builder, not null
         */
        public Builder connectionLimit(int newLimit) {
            this.connectionLimit = newLimit;
            return this;
        }

        /**
         * Sets the HTTP method.
         *
         * @param newMethod  the method, not null
         * @return this builder, not null
         */
        public Builder method(String newMethod) {
            this.method = newMethod;
            return this;
        }

        /**
         * Sets the path with its query.
         *
         * @param newPath  the path, not null
         * @return this builder, not null
         */
        public Builder path(String newPath) {
            this.path = newPath;
            return this;
        }

        /**
         * Sets the end-to-end headers.
         *
         * @param newHeaders  the headers, not null
         * @return this builder, not null
         */
        public Builder headers(List<Map.Entry<String, String>> newHeaders) {
            this.headers = newHeaders;
            return this;
        }

        /**
         * Sets the body; default empty.
         *
         * @param newBody  the body, not copied, not null
         * @return this builder, not null
         */
        public Builder body(byte[] newBody) {
            this.body = newBody;
            return this;
        }

        /**
         * Sets the time that remains until the deadline; default 1.
         *
         * @param newTimeoutMillis  the time in milliseconds, positive
         * @return this builder, not null
         */
        public Builder timeoutMillis(long newTimeoutMillis) {
            this.timeoutMillis = newTimeoutMillis;
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request, not null
         * @throws NullPointerException if the exchange identifier, the endpoint, the method or the path is missing
         */
        public TargetRequest build() {
            return new TargetRequest(this);
        }
    }
}
