package org.trefoilpost.decision.admission;

/**
 * Settings of a pool's admission queue.
 */
public final class AdmissionSettings {
    private static final AdmissionSettings DEFAULTS = builder().build();

    private final int maxQueued;
    private final double bulkShare;
    private final long initialServiceMillis;
    private final long minRetryAfterMillis;
    private final long maxRetryAfterMillis;

    private AdmissionSettings(Builder builder) {
        this.maxQueued = builder.maxQueued;
        this.bulkShare = builder.bulkShare;
        this.initialServiceMillis = builder.initialServiceMillis;
        this.minRetryAfterMillis = builder.minRetryAfterMillis;
        this.maxRetryAfterMillis = builder.maxRetryAfterMillis;
    }

    /**
     * Returns the default settings.
     *
     * @return the settings, not null
     */
    public static AdmissionSettings defaults() {
        return DEFAULTS;
    }

    /**
     * Returns a builder that holds the defaults.
     *
     * @return the builder, not null
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the most requests that may be queued.
     *
     * @return the requests, more than 0
     */
    public int maxQueued() {
        return maxQueued;
    }

    /**
     * Returns the share of starts that bulk requests get while any is queued.
     *
     * @return the share, from 0 to below 1
     */
    public double bulkShare() {
        return bulkShare;
    }

    /**
     * Returns the service time assumed before the first answer.
     *
     * @return the time in milliseconds, more than 0
     */
    public long initialServiceMillis() {
        return initialServiceMillis;
    }

    /**
     * Returns the shortest time after which a refused caller is told to retry.
     *
     * @return the time in milliseconds
     */
    public long minRetryAfterMillis() {
        return minRetryAfterMillis;
    }

    /**
     * Returns the longest time after which a refused caller is told to retry.
     *
     * @return the time in milliseconds
     */
    public long maxRetryAfterMillis() {
        return maxRetryAfterMillis;
    }

    /**
     * Builder of admission settings.
     */
    public static final class Builder {
        private int maxQueued = 1_024;
        private double bulkShare = 0.05;
        private long initialServiceMillis = 100;
        private long minRetryAfterMillis = 500;
        private long maxRetryAfterMillis = 30_000;

        private Builder() {}

        /**
         * Sets the most requests that may be queued.
         *
         * @param requests  the requests, more than 0
         * @return this builder, not null
         */
        public Builder maxQueued(int requests) {
            this.maxQueued = requests;
            return this;
        }

        /**
         * Sets the share of starts that bulk requests get while any is queued.
         *
         * @param share  the share, from 0 to below 1
         * @return this builder, not null
         */
        public Builder bulkShare(double share) {
            this.bulkShare = share;
            return this;
        }

        /**
         * Sets the service time assumed before the first answer.
         *
         * @param millis  the time in milliseconds, more than 0
         * @return this builder, not null
         */
        public Builder initialServiceMillis(long millis) {
            this.initialServiceMillis = millis;
            return this;
        }

        /**
         * Sets the range of the times after which refused callers are told to retry.
         *
         * @param minMillis  the shortest time in milliseconds, not negative
         * @param maxMillis  the longest time in milliseconds, not less than the shortest
         * @return this builder, not null
         */
        public Builder retryAfter(long minMillis, long maxMillis) {
            this.minRetryAfterMillis = minMillis;
            this.maxRetryAfterMillis = maxMillis;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, not null
         * @throws IllegalArgumentException if a value is out of its range
         */
        public AdmissionSettings build() {
            boolean queue = maxQueued > 0 && bulkShare >= 0 && bulkShare < 1 && initialServiceMillis > 0;
            if (!queue || minRetryAfterMillis < 0 || maxRetryAfterMillis < minRetryAfterMillis) {
                throw new IllegalArgumentException("an admission setting is out of its range");
            }
            return new AdmissionSettings(this);
        }
    }
}
