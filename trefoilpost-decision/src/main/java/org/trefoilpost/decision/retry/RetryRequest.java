package org.trefoilpost.decision.retry;

import java.util.Objects;

/**
 * A request whose last attempt failed, as the retry policy needs it.
 */
public final class RetryRequest {
    private final AttemptHistory history;
    private final boolean repeatable;
    private final long deadlineMillis;
    private final long serviceMillis;
    private final long retryAfterMillis;

    private RetryRequest(Builder builder) {
        this.history = builder.history;
        this.repeatable = builder.repeatable;
        this.deadlineMillis = builder.deadlineMillis;
        this.serviceMillis = builder.serviceMillis;
        this.retryAfterMillis = builder.retryAfterMillis;
    }

    /**
     * Returns a builder of a request that may not be repeated.
     *
     * @param history  the failed attempts, not null, not empty
     * @param deadlineMillis  the time at which the caller stops waiting, in milliseconds
     * @return the builder, not null
     */
    public static Builder builder(AttemptHistory history, long deadlineMillis) {
        return new Builder(history, deadlineMillis);
    }

    /**
     * Returns the failed attempts.
     *
     * @return the history, not null
     */
    public AttemptHistory history() {
        return history;
    }

    /**
     * Returns whether the request may run more than once.
     *
     * @return true if it may
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return the time in milliseconds
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns the expected time of an attempt.
     *
     * @return the time in milliseconds, more than 0
     */
    public long serviceMillis() {
        return serviceMillis;
    }

    /**
     * Returns the time after which the caller may retry if the request is given up.
     *
     * @return the time in milliseconds, not negative
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /**
     * Builder of retry requests.
     */
    public static final class Builder {
        private final AttemptHistory history;
        private final long deadlineMillis;
        private boolean repeatable;
        private long serviceMillis = 1;
        private long retryAfterMillis;

        private Builder(AttemptHistory history, long deadlineMillis) {
            if (Objects.requireNonNull(history, "history").failures().isEmpty()) {
                throw new IllegalArgumentException("history has no failed attempt, a retry needs at least one");
            }
            this.history = history;
            this.deadlineMillis = deadlineMillis;
        }

        /**
         * Sets whether the request may run more than once.
         *
         * @param newRepeatable  true if it may
         * @return this builder, not null
         */
        public Builder repeatable(boolean newRepeatable) {
            this.repeatable = newRepeatable;
            return this;
        }

        /**
         * Sets the expected time of an attempt.
         *
         * @param millis  the time in milliseconds, raised to 1 if less
         * @return this builder, not null
         */
        public Builder serviceMillis(long millis) {
            this.serviceMillis = Math.max(1, millis);
            return this;
        }

        /**
         * Sets the time after which the caller may retry if the request is given up.
         *
         * @param millis  the time in milliseconds, not negative
         * @return this builder, not null
         */
        public Builder retryAfterMillis(long millis) {
            this.retryAfterMillis = millis;
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request, not null
         */
        public RetryRequest build() {
            return new RetryRequest(this);
        }
    }
}
