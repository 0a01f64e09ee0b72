package org.trefoilpost.entry.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * Checks every flag, and collects every fault before it fails.
 */
final class SettingsChecker {
    private static final int KIB = 1024;
    private static final long SECOND_MILLIS = 1_000;
    private static final int MAX_RETENTION_SECONDS = 24 * 60 * 60;
    private static final int MAX_SHARDS = 256;
    private static final int MAX_KIB = 1024 * 1024;
    private static final int MAX_RING = 1 << 20;
    private static final int MAX_GRACE_MILLIS = 600_000;
    private static final int MAX_WRITES = 100_000;

    private final EntryFlags flags;
    private final List<SettingsFault> faults;

    SettingsChecker(EntryFlags flags, List<SettingsFault> faults) {
        this.flags = flags;
        this.faults = new ArrayList<>(faults);
    }

    /**
     * Checks the flags.
     *
     * @return the settings, not null
     * @throws SettingsException if any flag is wrong
     */
    EntrySettings check() {
        EntrySettingsBuilder builder = EntrySettings.builder()
                .entryId(parsed("--entry-id", flags.entryId, EntryId::of))
                .dataCentre(parsed("--data-centre", flags.dataCentre, DataCentreName::of))
                .callerListen(parsed("--caller-listen", flags.callerListen, Endpoint::parse))
                .peerListen(parsed("--peer-listen", flags.peerListen, Endpoint::parse))
                .operatorListen(parsed("--operator-listen", flags.operatorListen, Endpoint::parse))
                .platform(parsed("--platform", flags.platform, Endpoint::parse))
                .operatorToken(flags.operatorToken)
                .peerSecret(flags.peerSecret)
                .grantedWritesPerSecond(number("--granted-writes", flags.grantedWrites, 1, MAX_WRITES))
                .claimShards(number("--claim-shards", flags.claimShards, 1, MAX_SHARDS))
                .keyRetentionMillis(SECOND_MILLIS
                        * number("--key-retention-seconds", flags.keyRetentionSeconds, 1, MAX_RETENTION_SECONDS))
                .heldAnswerBytes(KIB * number("--held-answer-kib", flags.heldAnswerKib, 1, MAX_KIB))
                .replayMemoryBytes((long) KIB * number("--replay-memory-kib", flags.replayMemoryKib, 1, MAX_KIB))
                .ringCapacity(number("--ring-capacity", flags.ringCapacity, 2, MAX_RING))
                .graceMillis(number("--grace-millis", flags.graceMillis, 0, MAX_GRACE_MILLIS));
        checkSecret("--operator-token", flags.operatorToken, "--operator-listen", flags.operatorListen);
        checkSecret("--peer-secret", flags.peerSecret, "--peer-listen", flags.peerListen);
        checkDistinct();
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return builder.build();
    }

    private <T> T parsed(String name, String value, Function<String, T> parser) {
        if (value == null) {
            faults.add(SettingsFault.of(name, "", "a value is needed"));
            return null;
        }
        try {
            return parser.apply(value);
        } catch (IllegalArgumentException e) {
            faults.add(SettingsFault.of(name, value, e.getMessage()));
            return null;
        }
    }

    private int number(String name, String value, int least, int most) {
        try {
            int number = Integer.parseInt(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException ignored) {
            // The fault below names the value.
        }
        faults.add(SettingsFault.of(name, value, "a whole number from " + least + " to " + most + " is allowed"));
        return least;
    }

    private void checkSecret(String name, String secret, String listenName, String listen) {
        if (!secret.isEmpty()) {
            return;
        }
        try {
            if (!Endpoint.parse(listen).isLoopback()) {
                faults.add(SettingsFault.of(name, "", "a value is needed since " + listenName + " is off loopback"));
            }
        } catch (IllegalArgumentException ignored) {
            // The listener's own check names the fault.
        }
    }

    private void checkDistinct() {
        List<String> listeners = List.of(flags.callerListen, flags.peerListen, flags.operatorListen);
        long fixed = listeners.stream().filter(text -> !text.endsWith(":0")).count();
        long distinct = listeners.stream()
                .filter(text -> !text.endsWith(":0"))
                .distinct()
                .count();
        if (distinct < fixed) {
            faults.add(SettingsFault.of(
                    "--caller-listen, --peer-listen, --operator-listen",
                    String.join(", ", listeners),
                    "each listener needs an address of its own"));
        }
    }
}
