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
    private final long keyRetentionMillis;
    private final int heldAnswerBytes;
    private final long replayMemoryBytes;
    private final int ringCapacity;
    private final int graceMillis;

    EntrySettings(EntrySettingsBuilder builder) {
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
        this.keyRetentionMillis = builder.keyRetentionMillis;
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
    static EntrySettingsBuilder builder() {
        return new EntrySettingsBuilder();
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
     * Returns the time for which idempotency keys are held.
     *
     * @return the time in milliseconds, positive
     */
    public long keyRetentionMillis() {
        return keyRetentionMillis;
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
                "--key-retention-seconds " + keyRetentionMillis / 1000,
                "--held-answer-kib " + heldAnswerBytes / 1024,
                "--replay-memory-kib " + replayMemoryBytes / 1024,
                "--ring-capacity " + ringCapacity,
                "--grace-millis " + graceMillis);
    }

    private static String masked(String secret) {
        return secret.isEmpty() ? "(none)" : "********";
    }
}
