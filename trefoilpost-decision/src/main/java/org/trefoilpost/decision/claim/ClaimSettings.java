package org.trefoilpost.decision.claim;

/**
 * Limits of a claim shard.
 */
public final class ClaimSettings {
    private static final double DEFAULT_GRANTED_WRITES_PER_SECOND = 300;
    private static final int MAX_WRITE_BURST = 4;
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
     * Returns the time for which a key is held, in milliseconds.
     *
     * @return the time for which a key is held
     */
    public long retentionMillis() {
        return retentionMillis;
    }

    /**
     * Returns the share of this shard in the store's granted writes and deletes a second.
     *
     * @return the share of this shard in the store's granted writes and deletes a second
     */
    public double writesPerSecond() {
        return writesPerSecond;
    }

    /**
     * Returns the most writes at once after a pause.
     *
     * @return the most writes at once after a pause
     */
    public int writeBurst() {
        return writeBurst;
    }

    /**
     * Returns the size in bytes from which the tail is moved to an archive.
     *
     * @return the size in bytes from which the tail is moved to an archive
     */
    public int tailRolloverBytes() {
        return tailRolloverBytes;
    }

    /**
     * Returns the largest size in bytes of an archive, at most half of what a value may have.
     *
     * @return the largest size in bytes of an archive
     */
    public int maxArchiveBytes() {
        return maxArchiveBytes;
    }

    /**
     * Returns the most claims in a write.
     *
     * @return the most claims in a write
     */
    public int maxBatchClaims() {
        return maxBatchClaims;
    }

    /**
     * Returns the most requests that wait for their claim.
     *
     * @return the most requests that wait for their claim
     */
    public int maxPendingRequests() {
        return maxPendingRequests;
    }

    /**
     * Returns the most bytes of answers kept for repeats.
     *
     * @return the most bytes of answers kept for repeats
     */
    public long maxAnswerBytes() {
        return maxAnswerBytes;
    }

    /**
     * Returns the time after which a refused caller may come back, in milliseconds.
     *
     * @return the time after which a refused caller may come back
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
         * @param perSecond  the writes and deletes a second that the store grants to all shards, more than one a shard
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
         * Sets the time for which a key is held, in milliseconds.
         *
         * @param value  the time for which a key is held, more than 0
         * @return this builder, not null
         */
        public Builder retentionMillis(long value) {
            retentionMillis = value;
            return this;
        }

        /**
         * Sets the share of this shard in the store's granted writes and deletes a second.
         *
         * @param value  the share of this shard in the store's granted writes and deletes a second, more than 0
         * @return this builder, not null
         */
        public Builder writesPerSecond(double value) {
            writesPerSecond = value;
            return this;
        }

        /**
         * Sets the most writes at once after a pause.
         *
         * @param value  the most writes at once after a pause, more than 0
         * @return this builder, not null
         */
        public Builder writeBurst(int value) {
            writeBurst = value;
            return this;
        }

        /**
         * Sets the size in bytes from which the tail is moved to an archive.
         *
         * @param value  the size in bytes from which the tail is moved to an archive, more than 0
         * @return this builder, not null
         */
        public Builder tailRolloverBytes(int value) {
            tailRolloverBytes = value;
            return this;
        }

        /**
         * Sets the largest size in bytes of an archive, at most half of what a value may have.
         *
         * @param value  the largest size in bytes of an archive, more than 0
         * @return this builder, not null
         */
        public Builder maxArchiveBytes(int value) {
            maxArchiveBytes = value;
            return this;
        }

        /**
         * Sets the most claims in a write.
         *
         * @param value  the most claims in a write, more than 0
         * @return this builder, not null
         */
        public Builder maxBatchClaims(int value) {
            maxBatchClaims = value;
            return this;
        }

        /**
         * Sets the most requests that wait for their claim.
         *
         * @param value  the most requests that wait for their claim, more than 0
         * @return this builder, not null
         */
        public Builder maxPendingRequests(int value) {
            maxPendingRequests = value;
            return this;
        }

        /**
         * Sets the most bytes of answers kept for repeats.
         *
         * @param value  the most bytes of answers kept for repeats, more than 0
         * @return this builder, not null
         */
        public Builder maxAnswerBytes(long value) {
            maxAnswerBytes = value;
            return this;
        }

        /**
         * Sets the time after which a refused caller may come back, in milliseconds.
         *
         * @param value  the time after which a refused caller may come back, more than 0
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
         * @throws IllegalArgumentException if a limit is not positive
         */
        public ClaimSettings build() {
            if (Math.min(retentionMillis, retryAfterMillis) <= 0 || writesPerSecond <= 0 || writeBurst <= 0) {
                throw new IllegalArgumentException("times, rate and burst must be positive");
            }
            if (Math.min(Math.min(tailRolloverBytes, maxArchiveBytes), Math.min(maxBatchClaims, maxPendingRequests))
                    <= 0) {
                throw new IllegalArgumentException("sizes must be positive");
            }
            return new ClaimSettings(this);
        }
    }
}
