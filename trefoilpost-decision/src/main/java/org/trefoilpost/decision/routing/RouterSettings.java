package org.trefoilpost.decision.routing;

/**
 * Limits and times by which a router judges its workers.
 */
public final class RouterSettings {
    private static final RouterSettings DEFAULTS = builder().build();

    private final long peerCountMaxAgeMillis;
    private final double peerCountWeight;
    private final long firstSlotLimitMillis;
    private final double marginStepSlots;
    private final double maxMarginSlots;
    private final double targetRejectionShare;
    private final long failureHalfLifeMillis;
    private final int minFailures;
    private final double minFailureRate;
    private final double failureRateRatio;
    private final double maxEjectedShare;
    private final long firstProbeDelayMillis;
    private final long maxProbeDelayMillis;

    private RouterSettings(Builder builder) {
        this.peerCountMaxAgeMillis = builder.peerCountMaxAgeMillis;
        this.peerCountWeight = builder.peerCountWeight;
        this.firstSlotLimitMillis = builder.firstSlotLimitMillis;
        this.marginStepSlots = builder.marginStepSlots;
        this.maxMarginSlots = builder.maxMarginSlots;
        this.targetRejectionShare = builder.targetRejectionShare;
        this.failureHalfLifeMillis = builder.failureHalfLifeMillis;
        this.minFailures = builder.minFailures;
        this.minFailureRate = builder.minFailureRate;
        this.failureRateRatio = builder.failureRateRatio;
        this.maxEjectedShare = builder.maxEjectedShare;
        this.firstProbeDelayMillis = builder.firstProbeDelayMillis;
        this.maxProbeDelayMillis = builder.maxProbeDelayMillis;
    }

    /**
     * Returns the settings used unless others are given.
     *
     * @return the settings, not null
     */
    public static RouterSettings defaults() {
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
     * Returns the age at which a peer's count no longer counts.
     *
     * @return the age in milliseconds
     */
    public long peerCountMaxAgeMillis() {
        return peerCountMaxAgeMillis;
    }

    /**
     * Returns the weight of a peer's newest count in its mean.
     *
     * @return the weight, above 0 and up to 1
     */
    public double peerCountWeight() {
        return peerCountWeight;
    }

    /**
     * Returns by how many slots a rejection widens the margin that is left free at its worker.
     *
     * @return the slots, not negative
     */
    public double marginStepSlots() {
        return marginStepSlots;
    }

    /**
     * Returns the widest margin that is left free at a worker.
     *
     * @return the slots, not negative
     */
    public double maxMarginSlots() {
        return maxMarginSlots;
    }

    /**
     * Returns the share of rejected attempts at which a worker's margin stays as it is.
     *
     * @return the share, from 0 to 1
     */
    public double targetRejectionShare() {
        return targetRejectionShare;
    }

    /**
     * Returns how long the first rejection in a row holds the estimated capacity of its worker.
     *
     * @return the time in milliseconds
     */
    public long firstSlotLimitMillis() {
        return firstSlotLimitMillis;
    }

    /**
     * Returns the time after which an outcome counts half.
     *
     * @return the time in milliseconds
     */
    public long failureHalfLifeMillis() {
        return failureHalfLifeMillis;
    }

    /**
     * Returns the failures in recent time below which no worker is ejected.
     *
     * @return the failures
     */
    public int minFailures() {
        return minFailures;
    }

    /**
     * Returns the failure rate below which no worker is ejected.
     *
     * @return the rate, from 0 to 1
     */
    public double minFailureRate() {
        return minFailureRate;
    }

    /**
     * Returns how many times the failure rate of its pool a worker's rate must exceed.
     *
     * @return the ratio, 1 or more
     */
    public double failureRateRatio() {
        return failureRateRatio;
    }

    /**
     * Returns the largest share of a pool that may be ejected at a time.
     *
     * @return the share, from 0 to 1
     */
    public double maxEjectedShare() {
        return maxEjectedShare;
    }

    /**
     * Returns the time from an ejection to its first probe.
     *
     * @return the time in milliseconds
     */
    public long firstProbeDelayMillis() {
        return firstProbeDelayMillis;
    }

    /**
     * Returns the longest time between two probes.
     *
     * @return the time in milliseconds
     */
    public long maxProbeDelayMillis() {
        return maxProbeDelayMillis;
    }

    /**
     * Builder of settings.
     */
    public static final class Builder {
        private long peerCountMaxAgeMillis = 3_000;
        private double peerCountWeight = 0.3;
        private long firstSlotLimitMillis = 30;
        private double marginStepSlots = 0.2;
        private double maxMarginSlots = 3;
        private double targetRejectionShare = 0.03;
        private long failureHalfLifeMillis = 5_000;
        private int minFailures = 3;
        private double minFailureRate = 0.2;
        private double failureRateRatio = 2;
        private double maxEjectedShare = 0.7;
        private long firstProbeDelayMillis = 1_000;
        private long maxProbeDelayMillis = 60_000;

        private Builder() {}

        /**
         * Sets the age at which a peer's count no longer counts.
         *
         * @param millis  the age in milliseconds, more than 0
         * @return this builder, not null
         */
        public Builder peerCountMaxAgeMillis(long millis) {
            this.peerCountMaxAgeMillis = millis;
            return this;
        }

        /**
         * Sets the weight of a peer's newest count in its mean.
         *
         * @param weight  the weight, above 0 and up to 1
         * @return this builder, not null
         */
        public Builder peerCountWeight(double weight) {
            this.peerCountWeight = weight;
            return this;
        }

        /**
         * Sets the margin that is left free at workers that reject.
         *
         * @param step  by how many slots a rejection widens the margin, not negative
         * @param max  the widest margin in slots, not negative
         * @param share  the share of rejected attempts at which the margin stays, from 0 to 1
         * @return this builder, not null
         */
        public Builder margin(double step, double max, double share) {
            this.marginStepSlots = step;
            this.maxMarginSlots = max;
            this.targetRejectionShare = share;
            return this;
        }

        /**
         * Sets how long a rejection lowers the estimated capacity of its worker.
         *
         * @param millis  the time in milliseconds, not negative
         * @return this builder, not null
         */
        public Builder firstSlotLimitMillis(long millis) {
            this.firstSlotLimitMillis = millis;
            return this;
        }

        /**
         * Sets the time after which an outcome counts half.
         *
         * @param millis  the time in milliseconds, more than 0
         * @return this builder, not null
         */
        public Builder failureHalfLifeMillis(long millis) {
            this.failureHalfLifeMillis = millis;
            return this;
        }

        /**
         * Sets when a worker is ejected.
         *
         * @param failures  the least failures in recent time, more than 0
         * @param rate  the least failure rate, from 0 to 1
         * @param ratio  how many times the pool's rate the worker's rate must exceed, 1 or more
         * @return this builder, not null
         */
        public Builder ejectionThreshold(int failures, double rate, double ratio) {
            this.minFailures = failures;
            this.minFailureRate = rate;
            this.failureRateRatio = ratio;
            return this;
        }

        /**
         * Sets the largest share of a pool that may be ejected at a time.
         *
         * @param share  the share, from 0 to 1
         * @return this builder, not null
         */
        public Builder maxEjectedShare(double share) {
            this.maxEjectedShare = share;
            return this;
        }

        /**
         * Sets the times between the probes of an ejected worker.
         *
         * @param firstMillis  the time to the first probe in milliseconds, more than 0
         * @param maxMillis  the longest time between two probes in milliseconds, not less than the first
         * @return this builder, not null
         */
        public Builder probeBackOff(long firstMillis, long maxMillis) {
            this.firstProbeDelayMillis = firstMillis;
            this.maxProbeDelayMillis = maxMillis;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, not null
         * @throws IllegalArgumentException if a value is out of its range
         */
        public RouterSettings build() {
            boolean times = peerCountMaxAgeMillis > 0
                    && peerCountWeight > 0
                    && peerCountWeight <= 1
                    && firstSlotLimitMillis >= 0
                    && marginStepSlots >= 0
                    && maxMarginSlots >= 0
                    && targetRejectionShare >= 0
                    && failureHalfLifeMillis > 0
                    && firstProbeDelayMillis > 0
                    && maxProbeDelayMillis >= firstProbeDelayMillis;
            boolean rates = minFailures > 0
                    && minFailureRate >= 0
                    && minFailureRate <= 1
                    && failureRateRatio >= 1
                    && maxEjectedShare >= 0
                    && maxEjectedShare <= 1;
            if (!times || !rates) {
                throw new IllegalArgumentException("a router setting is out of its range");
            }
            return new RouterSettings(this);
        }
    }
}
