package org.trefoilpost.entry.settings;

import com.beust.jcommander.Parameter;

/**
 * The command line's flags as texts; each is also an environment variable, such as {@code TREFOILPOST_ENTRY_ID}.
 */
final class EntryFlags {
    @Parameter(names = "--entry-id", description = "Name of this entry instance, unique among the entries.")
    String entryId;

    @Parameter(names = "--data-centre", description = "Data centre in which this entry runs.")
    String dataCentre;

    @Parameter(names = "--caller-listen", description = "address:port for callers.")
    String callerListen = "127.0.0.1:8080";

    @Parameter(names = "--peer-listen", description = "address:port for the other entries.")
    String peerListen = "127.0.0.1:8081";

    @Parameter(names = "--operator-listen", description = "address:port for operators, health and metrics.")
    String operatorListen = "127.0.0.1:8082";

    @Parameter(names = "--platform", description = "address:port of the platform's services.")
    String platform;

    @Parameter(names = "--operator-token", description = "Token that operators send; needed off loopback.")
    String operatorToken = "";

    @Parameter(names = "--peer-secret", description = "Secret that entries share; needed off loopback.")
    String peerSecret = "";

    @Parameter(names = "--granted-writes", description = "Store writes a second granted to all entries together.")
    String grantedWrites = "300";

    @Parameter(names = "--claim-shards", description = "Shards of the claim journal, the same at every entry.")
    String claimShards = "16";

    @Parameter(
            names = "--key-retention-seconds",
            description = "Time for which idempotency keys are held, the same at every entry.")
    String keyRetentionSeconds = "900";

    @Parameter(names = "--held-answer-kib", description = "Most KiB of an answer held before it is streamed.")
    String heldAnswerKib = "1024";

    @Parameter(names = "--replay-memory-kib", description = "Most KiB of answers kept for repeated requests.")
    String replayMemoryKib = "16384";

    @Parameter(names = "--ring-capacity", description = "Events that wait for a duty before requests are refused.")
    String ringCapacity = "4096";

    @Parameter(names = "--grace-millis", description = "Milliseconds for requests in flight at a shutdown.")
    String graceMillis = "10000";

    @Parameter(names = "--check-settings", description = "Checks and prints the settings, then exits.")
    boolean checkSettings;

    @Parameter(names = "--version", description = "Prints the version, then exits.")
    boolean version;

    @Parameter(names = "--help", help = true, description = "Prints the flags, then exits.")
    boolean help;
}
