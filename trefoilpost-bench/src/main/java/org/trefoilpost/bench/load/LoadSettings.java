package org.trefoilpost.bench.load;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.Endpoint;

/**
 * The settings of a load, which are also the flags of its program.
 */
public final class LoadSettings {
    @Parameter(
            names = "--entry",
            description = "callers' listener of an entry, as address:port; repeat or separate by commas")
    private List<String> entries = new ArrayList<>();

    @Parameter(names = "--pool", description = "the pool that is called; without one the path is called as it is")
    private String pool = "";

    @Parameter(names = "--path", description = "the path within the pool, with its query")
    private String path = "/";

    @Parameter(names = "--rate", description = "the requests sent a second, at even times")
    private double rate = 10;

    @Parameter(names = "--seconds", description = "the seconds for which requests are sent")
    private double seconds = 10;

    @Parameter(names = "--keyed", description = "the share of requests with an idempotency key, 0 to 1")
    private double keyed;

    @Parameter(names = "--class", description = "the class of the requests: urgent, normal or bulk")
    private String requestClass;

    @Parameter(names = "--team", description = "the team of the requests")
    private String team;

    @Parameter(names = "--deadline-millis", description = "the time that a caller waits, in milliseconds")
    private long deadlineMillis = 10_000;

    @Parameter(names = "--seed", description = "the seed that decides which requests have a key")
    private long seed = 1;

    @Parameter(names = "--json", description = "prints the report as JSON")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "prints the flags, then exits")
    private boolean help;

    /**
     * Creates settings of 10 requests a second for 10 s, without keys.
     */
    public LoadSettings() {}

    /**
     * Sets what is called.
     *
     * @param newEntries  the addresses, called in turn, not null
     * @param newPool  the pool, empty to call the path as it is, not null
     * @return these settings, not null
     */
    LoadSettings target(List<Endpoint> newEntries, String newPool) {
        this.entries = newEntries.stream().map(Endpoint::toString).toList();
        this.pool = newPool;
        return this;
    }

    /**
     * Sets the rate and the length.
     *
     * @param newRate  the requests a second, more than 0
     * @param newSeconds  the seconds, more than 0
     * @return these settings, not null
     */
    LoadSettings load(double newRate, double newSeconds) {
        this.rate = newRate;
        this.seconds = newSeconds;
        return this;
    }

    /**
     * Sets the share of requests with a key and the seed that chooses them.
     *
     * @param share  the share, 0 to 1
     * @param newSeed  the seed
     * @return these settings, not null
     */
    LoadSettings keyed(double share, long newSeed) {
        this.keyed = share;
        this.seed = newSeed;
        return this;
    }

    /**
     * Returns what is wrong with the settings.
     *
     * @return the fault, not null, empty if there is none
     */
    Optional<String> fault() {
        if (!(rate > 0) || !(seconds > 0) || deadlineMillis <= 0) {
            return Optional.of("--rate, --seconds and --deadline-millis must be more than 0");
        }
        if (!(keyed >= 0 && keyed <= 1)) {
            return Optional.of("--keyed must be from 0 to 1");
        }
        if (entries.isEmpty()) {
            return Optional.of("--entry must be given");
        }
        try {
            entries();
        } catch (IllegalArgumentException e) {
            return Optional.of("--entry: " + e.getMessage());
        }
        return Optional.empty();
    }

    List<Endpoint> entries() {
        return entries.stream().map(Endpoint::parse).toList();
    }

    String requestPath() {
        String slashed = path.startsWith("/") ? path : "/" + path;
        return pool.isEmpty() ? slashed : "/" + pool + slashed;
    }

    double rate() {
        return rate;
    }

    long requests() {
        return Math.max(1, Math.round(rate * seconds));
    }

    double keyed() {
        return keyed;
    }

    Optional<String> requestClass() {
        return Optional.ofNullable(requestClass);
    }

    Optional<String> team() {
        return Optional.ofNullable(team);
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    long seed() {
        return seed;
    }

    boolean json() {
        return json;
    }

    boolean help() {
        return help;
    }
}
