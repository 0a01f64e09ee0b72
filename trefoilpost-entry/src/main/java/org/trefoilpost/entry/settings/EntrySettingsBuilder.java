package org.trefoilpost.entry.settings;

import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * Builder of settings, which a checker fills.
 */
final class EntrySettingsBuilder {
    EntryId entryId;
    DataCentreName dataCentre;
    Endpoint callerListen;
    Endpoint peerListen;
    Endpoint operatorListen;
    Endpoint platform;
    String operatorToken;
    String peerSecret;
    int grantedWritesPerSecond;
    int claimShards;
    long keyRetentionMillis;
    int heldAnswerBytes;
    long replayMemoryBytes;
    int ringCapacity;
    int graceMillis;

    EntrySettingsBuilder() {}

    /**
     * Sets the name of this entry.
     *
     * @param newEntryId  the name of this entry
     * @return this builder, not null
     */
    EntrySettingsBuilder entryId(EntryId newEntryId) {
        this.entryId = newEntryId;
        return this;
    }

    /**
     * Sets the data centre in which this entry runs.
     *
     * @param newDataCentre  the data centre in which this entry runs
     * @return this builder, not null
     */
    EntrySettingsBuilder dataCentre(DataCentreName newDataCentre) {
        this.dataCentre = newDataCentre;
        return this;
    }

    /**
     * Sets the address for callers.
     *
     * @param newCallerListen  the address for callers
     * @return this builder, not null
     */
    EntrySettingsBuilder callerListen(Endpoint newCallerListen) {
        this.callerListen = newCallerListen;
        return this;
    }

    /**
     * Sets the address for the other entries.
     *
     * @param newPeerListen  the address for the other entries
     * @return this builder, not null
     */
    EntrySettingsBuilder peerListen(Endpoint newPeerListen) {
        this.peerListen = newPeerListen;
        return this;
    }

    /**
     * Sets the address for operators.
     *
     * @param newOperatorListen  the address for operators
     * @return this builder, not null
     */
    EntrySettingsBuilder operatorListen(Endpoint newOperatorListen) {
        this.operatorListen = newOperatorListen;
        return this;
    }

    /**
     * Sets the address of the platform's services.
     *
     * @param newPlatform  the address of the platform's services
     * @return this builder, not null
     */
    EntrySettingsBuilder platform(Endpoint newPlatform) {
        this.platform = newPlatform;
        return this;
    }

    /**
     * Sets the token that operators send, without text if none is needed.
     *
     * @param newOperatorToken  the token that operators send
     * @return this builder, not null
     */
    EntrySettingsBuilder operatorToken(String newOperatorToken) {
        this.operatorToken = newOperatorToken;
        return this;
    }

    /**
     * Sets the secret that entries share, without text if none is needed.
     *
     * @param newPeerSecret  the secret that entries share
     * @return this builder, not null
     */
    EntrySettingsBuilder peerSecret(String newPeerSecret) {
        this.peerSecret = newPeerSecret;
        return this;
    }

    /**
     * Sets the store writes a second granted to all entries together.
     *
     * @param newGrantedWritesPerSecond  the store writes a second granted to all entries together
     * @return this builder, not null
     */
    EntrySettingsBuilder grantedWritesPerSecond(int newGrantedWritesPerSecond) {
        this.grantedWritesPerSecond = newGrantedWritesPerSecond;
        return this;
    }

    /**
     * Sets the number of shards of the claim journal.
     *
     * @param newClaimShards  the number of shards of the claim journal
     * @return this builder, not null
     */
    EntrySettingsBuilder claimShards(int newClaimShards) {
        this.claimShards = newClaimShards;
        return this;
    }

    /**
     * Sets the time for which idempotency keys are held.
     *
     * @param newKeyRetentionMillis  the time in milliseconds
     * @return this builder, not null
     */
    EntrySettingsBuilder keyRetentionMillis(long newKeyRetentionMillis) {
        this.keyRetentionMillis = newKeyRetentionMillis;
        return this;
    }

    /**
     * Sets the most bytes of an answer held before it is streamed.
     *
     * @param newHeldAnswerBytes  the most bytes of an answer held before it is streamed
     * @return this builder, not null
     */
    EntrySettingsBuilder heldAnswerBytes(int newHeldAnswerBytes) {
        this.heldAnswerBytes = newHeldAnswerBytes;
        return this;
    }

    /**
     * Sets the most bytes of answers kept for repeated requests.
     *
     * @param newReplayMemoryBytes  the most bytes of answers kept for repeated requests
     * @return this builder, not null
     */
    EntrySettingsBuilder replayMemoryBytes(long newReplayMemoryBytes) {
        this.replayMemoryBytes = newReplayMemoryBytes;
        return this;
    }

    /**
     * Sets the number of events that wait for a duty before requests are refused.
     *
     * @param newRingCapacity  the number of events that wait for a duty before requests are refused
     * @return this builder, not null
     */
    EntrySettingsBuilder ringCapacity(int newRingCapacity) {
        this.ringCapacity = newRingCapacity;
        return this;
    }

    /**
     * Sets the time in milliseconds for requests in flight at a shutdown.
     *
     * @param newGraceMillis  the time in milliseconds for requests in flight at a shutdown
     * @return this builder, not null
     */
    EntrySettingsBuilder graceMillis(int newGraceMillis) {
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
