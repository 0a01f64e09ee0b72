package org.trefoilpost.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.model.Endpoint;

/**
 * The global settings of a command, from flags and, where a flag is absent, from environment variables.
 */
final class Settings {
    private static final String DEFAULT_ENTRY = "127.0.0.1:8082";
    private static final String DEFAULT_TIMEOUT_SECONDS = "15";
    private static final int MAX_TIMEOUT_SECONDS = 3_600;

    private final Options options;
    private final Map<String, String> environment;
    private final List<String> faults = new ArrayList<>();
    private final List<Endpoint> entries = new ArrayList<>();
    private final Duration timeout;
    private final boolean json;

    Settings(Options options, Map<String, String> environment) {
        this.options = options;
        this.environment = environment;
        for (String text : settingValue("--entry").orElse(DEFAULT_ENTRY).split(",")) {
            readEntry(text.strip());
        }
        this.timeout = readTimeout(settingValue("--timeout").orElse(DEFAULT_TIMEOUT_SECONDS));
        String output = settingValue("--output").orElse("text");
        this.json = output.equals("json");
        if (!json && !output.equals("text")) {
            faults.add("--output " + output + ": text or json is expected");
        }
    }

    List<String> faults() {
        return faults;
    }

    List<Endpoint> entries() {
        return entries;
    }

    Duration timeout() {
        return timeout;
    }

    boolean isJson() {
        return json;
    }

    Optional<String> token() {
        return settingValue("--token");
    }

    String operator() {
        return settingValue("--operator")
                .or(() -> Optional.ofNullable(environment.get("USER")))
                .orElse("unknown");
    }

    private Optional<String> settingValue(String flag) {
        String variable =
                "TREFOILPOST_" + flag.substring(2).toUpperCase(Locale.ROOT).replace('-', '_');
        return Optional.ofNullable(options.value(flag)).or(() -> Optional.ofNullable(environment.get(variable)));
    }

    private void readEntry(String text) {
        try {
            entries.add(Endpoint.parse(text));
        } catch (IllegalArgumentException e) {
            faults.add("--entry: " + e.getMessage());
        }
    }

    private Duration readTimeout(String text) {
        try {
            int seconds = Integer.parseInt(text);
            if (seconds >= 1 && seconds <= MAX_TIMEOUT_SECONDS) {
                return Duration.ofSeconds(seconds);
            }
        } catch (NumberFormatException ignored) {
            // The fault is the same as for a number out of range.
        }
        faults.add("--timeout " + text + ": 1 to " + MAX_TIMEOUT_SECONDS + " seconds are expected");
        return Duration.ofSeconds(1);
    }
}
