package org.trefoilpost.entry.request;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.request.RequestClass;

/**
 * An immutable caller's request that has been validated and read completely, with its body.
 */
public final class CallerRequest {
    private final PoolName pool;
    private final String method;
    private final String path;
    private final List<Map.Entry<String, String>> headers;
    private final byte[] body;
    private final RequestClass requestClass;
    private final TeamName team;
    private final String idempotencyKey;
    private final boolean repeatable;
    private final long deadlineMillis;

    private CallerRequest(Builder builder) {
        this.pool = Objects.requireNonNull(builder.pool, "pool");
        this.method = Objects.requireNonNull(builder.method, "method");
        this.path = Objects.requireNonNull(builder.path, "path");
        this.headers = List.copyOf(builder.headers);
        this.body = builder.body;
        this.requestClass = builder.requestClass;
        this.team = builder.team;
        this.idempotencyKey = builder.idempotencyKey;
        this.repeatable = builder.repeatable;
        this.deadlineMillis = builder.deadlineMillis;
    }

    /**
     * Returns a builder for a request of the normal class that is not repeatable.
     *
     * @param pool  the name of the pool that the request is addressed to, not null
     * @return the builder, not null
     */
    public static Builder builder(PoolName pool) {
        return new Builder(pool);
    }

    /**
     * Returns the pool that the request is addressed to.
     *
     * @return the pool's name, not null
     */
    public PoolName pool() {
        return pool;
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
     * Returns the path and query that are sent to the target, without the pool's name.
     *
     * @return the path, starting with a slash, not null
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
     * Returns the class, which decides the request's priority in its pool's queue.
     *
     * @return the class, not null
     */
    public RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns the team whose quota of concurrent requests applies.
     *
     * @return the team, empty if no quota applies, not null
     */
    public Optional<TeamName> team() {
        return Optional.ofNullable(team);
    }

    /**
     * Returns the idempotency key, under which the request runs at most once.
     *
     * @return the key, empty if the caller sent none, not null
     */
    public Optional<String> idempotencyKey() {
        return Optional.ofNullable(idempotencyKey);
    }

    /**
     * Returns whether the request may run more than once.
     *
     * @return true if a retry is allowed although an earlier attempt may have run
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Returns the request's deadline, at which the caller stops waiting.
     *
     * @return the deadline in milliseconds since the Unix epoch
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns a copy of this request with another deadline.
     *
     * @param newDeadlineMillis  the deadline in milliseconds since the Unix epoch
     * @return the copy, not null
     */
    public CallerRequest withDeadlineMillis(long newDeadlineMillis) {
        return new Builder(pool)
                .method(method)
                .path(path)
                .headers(headers)
                .body(body)
                .requestClass(requestClass)
                .team(team())
                .idempotencyKey(idempotencyKey())
                .repeatable(repeatable)
                .deadlineMillis(newDeadlineMillis)
                .build();
    }

    /**
     * Returns the method, the pool and the path, separated by spaces.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return method + " " + pool + " " + path;
    }

    /**
     * Builder of caller requests.
     */
    public static final class Builder {
        private final PoolName pool;
        private String method;
        private String path;
        private List<Map.Entry<String, String>> headers = List.of();
        private byte[] body = {};
        private RequestClass requestClass = RequestClass.NORMAL;
        private TeamName team;
        private String idempotencyKey;
        private boolean repeatable;
        private long deadlineMillis;

        private Builder(PoolName pool) {
            this.pool = pool;
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
         * Sets the path and query that are sent to the target.
         *
         * @param newPath  the path, starting with a slash and without the pool's name, not null
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
         * Sets the class; default normal.
         *
         * @param newClass  the class, not null
         * @return this builder, not null
         */
        public Builder requestClass(RequestClass newClass) {
            this.requestClass = newClass;
            return this;
        }

        /**
         * Sets the team whose quota of concurrent requests applies.
         *
         * @param newTeam  the team, empty if no quota applies, not null
         * @return this builder, not null
         */
        public Builder team(Optional<TeamName> newTeam) {
            this.team = newTeam.orElse(null);
            return this;
        }

        /**
         * Sets the idempotency key.
         *
         * @param newKey  the key, empty if the caller sent none, not null
         * @return this builder, not null
         */
        public Builder idempotencyKey(Optional<String> newKey) {
            this.idempotencyKey = newKey.orElse(null);
            return this;
        }

        /**
         * Sets whether the request may run more than once; default false.
         *
         * @param newRepeatable  true if a retry is allowed although an earlier attempt may have run
         * @return this builder, not null
         */
        public Builder repeatable(boolean newRepeatable) {
            this.repeatable = newRepeatable;
            return this;
        }

        /**
         * Sets the deadline, at which the caller stops waiting.
         *
         * @param newDeadlineMillis  the deadline in milliseconds since the Unix epoch
         * @return this builder, not null
         */
        public Builder deadlineMillis(long newDeadlineMillis) {
            this.deadlineMillis = newDeadlineMillis;
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request, not null
         * @throws NullPointerException if the method or the path is missing
         */
        public CallerRequest build() {
            return new CallerRequest(this);
        }
    }
}
