package org.trefoilpost.decision.claim;

/**
 * Limits of a claim shard.
 */
public final class ClaimSettings {
    private static final double DEFAULT_GRANTED_WRITES_PER_SECOND = 300;
    private static final int MAX_WRITE_BURST = 4;
    /** The burst is at most the granted writes per second of the shard divided by this number. */
    private static final int BURST_DIVISOR = 3;

    private final long retentionMillis;
    private final double writesPerSecond;
    private final int writeBurst;
    private final int tailRolloverBytes;
    private final int maxArchiveBytes;
    private final int maxBatchClaims;
    private final int maxPendingRequests;
    private final long maxAnswerBytes;
    private final long retryAfterMillis;

    private ClaimSettings(Builder builder) {
        retentionMillis = builder.retentionMillis;
        writesPerSecond = builder.writesPerSecond;
        writeBurst = builder.writeBurst;
        tailRolloverBytes = builder.tailRolloverBytes;
        maxArchiveBytes = builder.maxArchiveBytes;
        maxBatchClaims = builder.maxBatchClaims;
        maxPendingRequests = builder.maxPendingRequests;
        maxAnswerBytes = builder.maxAnswerBytes;
        retryAfterMillis = builder.retryAfterMillis;
    }

    /**
     * Returns a builder with the default limits.
     *
     * @return the builder, not null
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the retention time: how long a repeat of a key is recognized, in milliseconds.
     *
     * @return the retention time in milliseconds, more than 0
     */
    public long retentionMillis() {
        return retentionMillis;
    }

    /**
     * Returns the rate of store writes and deletes that this shard may use, its share of the rate of all shards.
     *
     * @return the writes and deletes per second, more than 0
     */
    public double writesPerSecond() {
        return writesPerSecond;
    }

    /**
     * Returns the number of writes that the shard may make at once after a pause.
     *
     * @return the burst, more than 0
     */
    public int writeBurst() {
        return writeBurst;
    }

    /**
     * Returns the size at which the claims of the tail are moved to an archive.
     *
     * @return the size in bytes, more than 0
     */
    public int tailRolloverBytes() {
        return tailRolloverBytes;
    }

    /**
     * Returns the maximum size of an archive, at most half of the maximum size of a stored value.
     *
     * @return the size in bytes, more than 0
     */
    public int maxArchiveBytes() {
        return maxArchiveBytes;
    }

    /**
     * Returns the maximum number of new claims in one write.
     *
     * @return the number of claims, more than 0
     */
    public int maxBatchClaims() {
        return maxBatchClaims;
    }

    /**
     * Returns the maximum number of requests that wait for a claim or an outcome.
     *
     * @return the number of requests, more than 0
     */
    public int maxPendingRequests() {
        return maxPendingRequests;
    }

    /**
     * Returns the maximum total size of the answers stored for repeats.
     *
     * @return the size in bytes
     */
    public long maxAnswerBytes() {
        return maxAnswerBytes;
    }

    /**
     * Returns the time after which the caller of a refused request may retry.
     *
     * @return the time in milliseconds, more than 0
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /**
     * Builds settings.
     */
    public static final class Builder {
        private long retentionMillis = 15 * 60 * 1000;
        private double writesPerSecond;
        private int writeBurst;
        private int tailRolloverBytes = 16 * 1024;
        private int maxArchiveBytes = 256 * 1024;
        private int maxBatchClaims = 2_048;
        private int maxPendingRequests = 4_096;
        private long maxAnswerBytes = 8L * 1024 * 1024;
        private long retryAfterMillis = 1_000;

        private Builder() {
            grantedWrites(DEFAULT_GRANTED_WRITES_PER_SECOND, ShardMap.DEFAULT_SHARDS);
        }

        /**
         * Sets this shard's rate and burst so that all shards together make at most the granted writes in any second.
         *
         * @param perSecond  the writes and deletes per second that the store grants to all shards together, more than one
         *     for each shard
         * @param shards  the number of shards, more than 0
         * @return this builder, not null
         */
        public Builder grantedWrites(double perSecond, int shards) {
            double share = perSecond / shards;
            writeBurst = (int) Math.max(1, Math.min(MAX_WRITE_BURST, share / BURST_DIVISOR));
            writesPerSecond = Math.max(share - writeBurst, share / 2);
            return this;
        }

        /**
         * Sets the retention time: how long a repeat of a key is recognized, in milliseconds.
         *
         * @param value  the retention time in milliseconds, more than 0
         * @return this builder, not null
         */
        public Builder retentionMillis(long value) {
            retentionMillis = value;
            return this;
        }

        /**
         * Sets the rate of store writes and deletes that this shard may use, its share of the rate of all shards.
         *
         * @param value  the writes and deletes per second, more than 0
         * @return this builder, not null
         */
        public Builder writesPerSecond(double value) {
            writesPerSecond = value;
            return this;
        }

        /**
         * Sets the number of writes that the shard may make at once after a pause.
         *
         * @param value  the burst, more than 0
         * @return this builder, not null
         */
        public Builder writeBurst(int value) {
            writeBurst = value;
            return this;
        }

        /**
         * Sets the size at which the claims of the tail are moved to an archive.
         *
         * @param value  the size in bytes, more than 0
         * @return this builder, not null
         */
        public Builder tailRolloverBytes(int value) {
            tailRolloverBytes = value;
            return this;
        }

        /**
         * Sets the maximum size of an archive, at most half of the maximum size of a stored value.
         *
         * @param value  the size in bytes, more than 0
         * @return this builder, not null
         */
        public Builder maxArchiveBytes(int value) {
            maxArchiveBytes = value;
            return this;
        }

        /**
         * Sets the maximum number of new claims in one write.
         *
         * @param value  the number of claims, more than 0
         * @return this builder, not null
         */
        public Builder maxBatchClaims(int value) {
            maxBatchClaims = value;
            return this;
        }

        /**
         * Sets the maximum number of requests that wait for a claim or an outcome.
         *
         * @param value  the number of requests, more than 0
         * @return this builder, not null
         */
        public Builder maxPendingRequests(int value) {
            maxPendingRequests = value;
            return this;
        }

        /**
         * Sets the maximum total size of the answers stored for repeats.
         *
         * @param value  the size in bytes, more than 0
         * @return this builder, not null
         */
        public Builder maxAnswerBytes(long value) {
            maxAnswerBytes = value;
            return this;
        }

        /**
         * Sets the time after which the caller of a refused request may retry.
         *
         * @param value  the time in milliseconds, more than 0
         * @return this builder, not null
         */
        public Builder retryAfterMillis(long value) {
            retryAfterMillis = value;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, not null
         * @throws IllegalArgumentException if a limit is not positive; {@code maxAnswerBytes} is not checked
         */
        public ClaimSettings build() {
            if (Math.min(retentionMillis, retryAfterMillis) <= 0 || writesPerSecond <= 0 || writeBurst <= 0) {
                throw new IllegalArgumentException(
                        "retentionMillis, retryAfterMillis, writesPerSecond and writeBurst must be positive");
            }
            if (Math.min(Math.min(tailRolloverBytes, maxArchiveBytes), Math.min(maxBatchClaims, maxPendingRequests))
                    <= 0) {
                throw new IllegalArgumentException(
                        "tailRolloverBytes, maxArchiveBytes, maxBatchClaims and maxPendingRequests must be positive");
            }
            return new ClaimSettings(this);
        }
    }
}
