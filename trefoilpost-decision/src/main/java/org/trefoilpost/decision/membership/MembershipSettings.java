package org.trefoilpost.decision.membership;

/**
 * Times of the membership protocol.
 */
public final class MembershipSettings {
    private static final MembershipSettings DEFAULTS = builder().build();

    private final long intervalMillis;
    private final long suspectAfterMillis;
    private final long removeAfterMillis;
    private final long forgetAfterMillis;
    private final long pauseThresholdMillis;
    private final int membersPerHeartbeat;

    private MembershipSettings(Builder builder) {
        this.intervalMillis = builder.intervalMillis;
        this.suspectAfterMillis = builder.suspectAfterMillis;
        this.removeAfterMillis = builder.removeAfterMillis;
        this.forgetAfterMillis = builder.forgetAfterMillis;
        this.pauseThresholdMillis = builder.pauseThresholdMillis;
        this.membersPerHeartbeat = builder.membersPerHeartbeat;
    }

    /**
     * Returns the settings used unless others are given.
     *
     * @return the settings, not null
     */
    public static MembershipSettings defaults() {
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
     * Returns the time between two heartbeats to a peer.
     *
     * @return the time in milliseconds
     */
    public long intervalMillis() {
        return intervalMillis;
    }

    /**
     * Returns the silence after which a peer is suspected.
     *
     * @return the time in milliseconds
     */
    public long suspectAfterMillis() {
        return suspectAfterMillis;
    }

    /**
     * Returns the silence after which a peer is removed.
     *
     * @return the time in milliseconds
     */
    public long removeAfterMillis() {
        return removeAfterMillis;
    }

    /**
     * Returns the silence after which a removed peer is forgotten, unless it is registered in the store.
     *
     * @return the time in milliseconds
     */
    public long forgetAfterMillis() {
        return forgetAfterMillis;
    }

    /**
     * Returns the time between two steps beyond which this entry was itself paused.
     *
     * @return the time in milliseconds
     */
    public long pauseThresholdMillis() {
        return pauseThresholdMillis;
    }

    /**
     * Returns how many peers' addresses travel with a heartbeat.
     *
     * @return the peers
     */
    public int membersPerHeartbeat() {
        return membersPerHeartbeat;
    }

    /**
     * Builder of settings.
     */
    public static final class Builder {
        private long intervalMillis = 250;
        private long suspectAfterMillis = 1_250;
        private long removeAfterMillis = 5_000;
        private long forgetAfterMillis = 600_000;
        private long pauseThresholdMillis = 750;
        private int membersPerHeartbeat = 2;

        private Builder() {}

        /**
         * Sets the time between two heartbeats to a peer.
         *
         * @param millis  the time in milliseconds, more than 0
         * @return this builder, not null
         */
        public Builder intervalMillis(long millis) {
            this.intervalMillis = millis;
            return this;
        }

        /**
         * Sets the silence after which a peer is suspected, removed and forgotten.
         *
         * @param suspectMillis  the silence before suspicion in milliseconds, more than the interval
         * @param removeMillis  the silence before removal in milliseconds, more than before suspicion
         * @param forgetMillis  the silence before a removed peer is forgotten in milliseconds
         * @return this builder, not null
         */
        public Builder silenceTimeouts(long suspectMillis, long removeMillis, long forgetMillis) {
            this.suspectAfterMillis = suspectMillis;
            this.removeAfterMillis = removeMillis;
            this.forgetAfterMillis = forgetMillis;
            return this;
        }

        /**
         * Sets the time between two steps beyond which this entry was itself paused.
         *
         * @param millis  the time in milliseconds, more than the interval
         * @return this builder, not null
         */
        public Builder pauseThresholdMillis(long millis) {
            this.pauseThresholdMillis = millis;
            return this;
        }

        /**
         * Sets how many peers' addresses travel with a heartbeat.
         *
         * @param members  the peers, not negative
         * @return this builder, not null
         */
        public Builder membersPerHeartbeat(int members) {
            this.membersPerHeartbeat = members;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, not null
         * @throws IllegalArgumentException if a value is out of its range
         */
        public MembershipSettings build() {
            boolean ordered = intervalMillis > 0
                    && suspectAfterMillis > intervalMillis
                    && removeAfterMillis > suspectAfterMillis
                    && forgetAfterMillis > removeAfterMillis;
            if (!ordered || pauseThresholdMillis <= intervalMillis || membersPerHeartbeat < 0) {
                throw new IllegalArgumentException("a membership setting is out of its range");
            }
            return new MembershipSettings(this);
        }
    }
}
