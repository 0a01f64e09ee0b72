package org.trefoilpost.entry.settings;

import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The checked settings of an entry.
 */
public final class EntrySettings {
    private final EntryId entryId;
    private final DataCentreName dataCentre;
    private final Endpoint callerListen;
    private final Endpoint peerListen;
    private final Endpoint operatorListen;
    private final Endpoint platform;
    private final String operatorToken;
    private final String peerSecret;
    private final int grantedWritesPerSecond;
    private final int claimShards;
    private final int heldAnswerBytes;
    private final long replayMemoryBytes;
    private final int ringCapacity;
    private final int graceMillis;

    private EntrySettings(Builder builder) {
        this.entryId = builder.entryId;
        this.dataCentre = builder.dataCentre;
        this.callerListen = builder.callerListen;
        this.peerListen = builder.peerListen;
        this.operatorListen = builder.operatorListen;
        this.platform = builder.platform;
        this.operatorToken = builder.operatorToken;
        this.peerSecret = builder.peerSecret;
        this.grantedWritesPerSecond = builder.grantedWritesPerSecond;
        this.claimShards = builder.claimShards;
        this.heldAnswerBytes = builder.heldAnswerBytes;
        this.replayMemoryBytes = builder.replayMemoryBytes;
        this.ringCapacity = builder.ringCapacity;
        this.graceMillis = builder.graceMillis;
    }

    /**
     * Returns a builder without values.
     *
     * @return the builder, not null
     */
    static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the name of this entry.
     *
     * @return the name of this entry, not null
     */
    public EntryId entryId() {
        return entryId;
    }

    /**
     * Returns the data centre in which this entry runs.
     *
     * @return the data centre in which this entry runs, not null
     */
    public DataCentreName dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the address for callers.
     *
     * @return the address for callers, not null
     */
    public Endpoint callerListen() {
        return callerListen;
    }

    /**
     * Returns the address for the other entries.
     *
     * @return the address for the other entries, not null
     */
    public Endpoint peerListen() {
        return peerListen;
    }

    /**
     * Returns the address for operators.
     *
     * @return the address for operators, not null
     */
    public Endpoint operatorListen() {
        return operatorListen;
    }

    /**
     * Returns the address of the platform's services.
     *
     * @return the address of the platform's services, not null
     */
    public Endpoint platform() {
        return platform;
    }

    /**
     * Returns the token that operators send, without text if none is needed.
     *
     * @return the token that operators send, not null
     */
    public String operatorToken() {
        return operatorToken;
    }

    /**
     * Returns the secret that entries share, without text if none is needed.
     *
     * @return the secret that entries share, not null
     */
    public String peerSecret() {
        return peerSecret;
    }

    /**
     * Returns the store writes a second granted to all entries together.
     *
     * @return the store writes a second granted to all entries together, positive
     */
    public int grantedWritesPerSecond() {
        return grantedWritesPerSecond;
    }

    /**
     * Returns the number of shards of the claim journal.
     *
     * @return the number of shards of the claim journal, positive
     */
    public int claimShards() {
        return claimShards;
    }

    /**
     * Returns the most bytes of an answer held before it is streamed.
     *
     * @return the most bytes of an answer held before it is streamed, positive
     */
    public int heldAnswerBytes() {
        return heldAnswerBytes;
    }

    /**
     * Returns the most bytes of answers kept for repeated requests.
     *
     * @return the most bytes of answers kept for repeated requests, positive
     */
    public long replayMemoryBytes() {
        return replayMemoryBytes;
    }

    /**
     * Returns the number of events that wait for a duty before requests are refused.
     *
     * @return the number of events that wait for a duty before requests are refused, at least 2
     */
    public int ringCapacity() {
        return ringCapacity;
    }

    /**
     * Returns the time in milliseconds for requests in flight at a shutdown.
     *
     * @return the time in milliseconds for requests in flight at a shutdown, not negative
     */
    public int graceMillis() {
        return graceMillis;
    }

    /**
     * Returns the effective settings, one a line, with secrets masked.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return String.join(
                "\n",
                "--entry-id " + entryId,
                "--data-centre " + dataCentre,
                "--caller-listen " + callerListen,
                "--peer-listen " + peerListen,
                "--operator-listen " + operatorListen,
                "--platform " + platform,
                "--operator-token " + masked(operatorToken),
                "--peer-secret " + masked(peerSecret),
                "--granted-writes " + grantedWritesPerSecond,
                "--claim-shards " + claimShards,
                "--held-answer-kib " + heldAnswerBytes / 1024,
                "--replay-memory-kib " + replayMemoryBytes / 1024,
                "--ring-capacity " + ringCapacity,
                "--grace-millis " + graceMillis);
    }

    private static String masked(String secret) {
        return secret.isEmpty() ? "(none)" : "********";
    }

    /**
     * Builder of settings, which a checker fills.
     */
    static final class Builder {
        private EntryId entryId;
        private DataCentreName dataCentre;
        private Endpoint callerListen;
        private Endpoint peerListen;
        private Endpoint operatorListen;
        private Endpoint platform;
        private String operatorToken;
        private String peerSecret;
        private int grantedWritesPerSecond;
        private int claimShards;
        private int heldAnswerBytes;
        private long replayMemoryBytes;
        private int ringCapacity;
        private int graceMillis;

        private Builder() {}

        /**
         * Sets the name of this entry.
         *
         * @param newEntryId  the name of this entry
         * @return this builder, not null
         */
        Builder entryId(EntryId newEntryId) {
            this.entryId = newEntryId;
            return this;
        }

        /**
         * Sets the data centre in which this entry runs.
         *
         * @param newDataCentre  the data centre in which this entry runs
         * @return this builder, not null
         */
        Builder dataCentre(DataCentreName newDataCentre) {
            this.dataCentre = newDataCentre;
            return this;
        }

        /**
         * Sets the address for callers.
         *
         * @param newCallerListen  the address for callers
         * @return this builder, not null
         */
        Builder callerListen(Endpoint newCallerListen) {
            this.callerListen = newCallerListen;
            return this;
        }

        /**
         * Sets the address for the other entries.
         *
         * @param newPeerListen  the address for the other entries
         * @return this builder, not null
         */
        Builder peerListen(Endpoint newPeerListen) {
            this.peerListen = newPeerListen;
            return this;
        }

        /**
         * Sets the address for operators.
         *
         * @param newOperatorListen  the address for operators
         * @return this builder, not null
         */
        Builder operatorListen(Endpoint newOperatorListen) {
            this.operatorListen = newOperatorListen;
            return this;
        }

        /**
         * Sets the address of the platform's services.
         *
         * @param newPlatform  the address of the platform's services
         * @return this builder, not null
         */
        Builder platform(Endpoint newPlatform) {
            this.platform = newPlatform;
            return this;
        }

        /**
         * Sets the token that operators send, without text if none is needed.
         *
         * @param newOperatorToken  the token that operators send
         * @return this builder, not null
         */
        Builder operatorToken(String newOperatorToken) {
            this.operatorToken = newOperatorToken;
            return this;
        }

        /**
         * Sets the secret that entries share, without text if none is needed.
         *
         * @param newPeerSecret  the secret that entries share
         * @return this builder, not null
         */
        Builder peerSecret(String newPeerSecret) {
            this.peerSecret = newPeerSecret;
            return this;
        }

        /**
         * Sets the store writes a second granted to all entries together.
         *
         * @param newGrantedWritesPerSecond  the store writes a second granted to all entries together
         * @return this builder, not null
         */
        Builder grantedWritesPerSecond(int newGrantedWritesPerSecond) {
            this.grantedWritesPerSecond = newGrantedWritesPerSecond;
            return this;
        }

        /**
         * Sets the number of shards of the claim journal.
         *
         * @param newClaimShards  the number of shards of the claim journal
         * @return this builder, not null
         */
        Builder claimShards(int newClaimShards) {
            this.claimShards = newClaimShards;
            return this;
        }

        /**
         * Sets the most bytes of an answer held before it is streamed.
         *
         * @param newHeldAnswerBytes  the most bytes of an answer held before it is streamed
         * @return this builder, not null
         */
        Builder heldAnswerBytes(int newHeldAnswerBytes) {
            this.heldAnswerBytes = newHeldAnswerBytes;
            return this;
        }

        /**
         * Sets the most bytes of answers kept for repeated requests.
         *
         * @param newReplayMemoryBytes  the most bytes of answers kept for repeated requests
         * @return this builder, not null
         */
        Builder replayMemoryBytes(long newReplayMemoryBytes) {
            this.replayMemoryBytes = newReplayMemoryBytes;
            return this;
        }

        /**
         * Sets the number of events that wait for a duty before requests are refused.
         *
         * @param newRingCapacity  the number of events that wait for a duty before requests are refused
         * @return this builder, not null
         */
        Builder ringCapacity(int newRingCapacity) {
            this.ringCapacity = newRingCapacity;
            return this;
        }

        /**
         * Sets the time in milliseconds for requests in flight at a shutdown.
         *
         * @param newGraceMillis  the time in milliseconds for requests in flight at a shutdown
         * @return this builder, not null
         */
        Builder graceMillis(int newGraceMillis) {
            this.graceMillis = newGraceMillis;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings, not null
         */
        EntrySettings build() {
            return new EntrySettings(this);
        }
    }
}
