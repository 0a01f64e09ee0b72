package org.trefoilpost.entry.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class EntryCommandTest {
    private static final String[] VALID = {
        "--entry-id", "entry-1", "--data-centre", "dc-1", "--platform", "127.0.0.1:7000"
    };

    @Test
    void readsFlagsWithDefaults() {
        EntrySettings settings = EntryCommand.parse(VALID, Map.of()).settings();
        assertEquals("entry-1", settings.entryId().text());
        assertEquals(300, settings.grantedWritesPerSecond());
        assertEquals(900_000, settings.keyRetentionMillis());
    }

    @Test
    void readsVariablesAndLetsFlagsWin() {
        Map<String, String> environment =
                Map.of("TREFOILPOST_ENTRY_ID", "other", "TREFOILPOST_GRACE_MILLIS", "5", "HOME", "elsewhere");
        EntrySettings settings = EntryCommand.parse(VALID, environment).settings();
        assertEquals("entry-1", settings.entryId().text());
        assertEquals(5, settings.graceMillis());
    }

    @Test
    void reportsEveryFaultAtOnce() {
        String[] arguments = {
            "--entry-id", "Not Valid",
            "--platform", "nowhere",
            "--claim-shards", "0",
            "--grace-millis", "soon",
            "--caller-listen", "127.0.0.1:9000",
            "--operator-listen", "127.0.0.1:9000",
            "--no-such-flag", "1"
        };
        Map<String, String> environment = Map.of("TREFOILPOST_NO_SUCH", "1");
        List<String> names =
                faults(arguments, environment).stream().map(SettingsFault::name).collect(Collectors.toList());
        for (String name : List.of(
                "--entry-id",
                "--data-centre",
                "--platform",
                "--claim-shards",
                "--grace-millis",
                "--caller-listen, --peer-listen, --operator-listen",
                "--no-such-flag",
                "TREFOILPOST_NO_SUCH")) {
            assertTrue(names.contains(name), () -> name + " is not among " + names);
        }
    }

    @Test
    void namesTheValueAndWhatIsAllowed() {
        String[] arguments = {"--claim-shards", "9999"};
        String fault = faults(arguments, Map.of()).stream()
                .map(SettingsFault::toString)
                .filter(text -> text.startsWith("--claim-shards"))
                .findFirst()
                .orElseThrow();
        assertEquals("--claim-shards is '9999': a whole number from 1 to 256 is allowed", fault);
    }

    @Test
    void needsSecretsOffLoopback() {
        String[] arguments = {
            "--entry-id",
            "entry-1",
            "--data-centre",
            "dc-1",
            "--platform",
            "127.0.0.1:7000",
            "--operator-listen",
            "10.0.0.1:8082",
            "--peer-listen",
            "10.0.0.1:8081"
        };
        List<String> names =
                faults(arguments, Map.of()).stream().map(SettingsFault::name).collect(Collectors.toList());
        assertEquals(List.of("--operator-token", "--peer-secret"), names);
    }

    @Test
    void masksSecrets() {
        Map<String, String> environment =
                Map.of("TREFOILPOST_OPERATOR_TOKEN", "open-sesame", "TREFOILPOST_PEER_SECRET", "friend");
        String shown = EntryCommand.parse(VALID, environment).settings().toString();
        assertFalse(shown.contains("open-sesame"));
        assertFalse(shown.contains("friend"));
        assertTrue(shown.contains("--operator-token ********"));
    }

    private static List<SettingsFault> faults(String[] arguments, Map<String, String> environment) {
        return assertThrows(
                        SettingsException.class,
                        () -> EntryCommand.parse(arguments, environment).settings())
                .faults();
    }
}
