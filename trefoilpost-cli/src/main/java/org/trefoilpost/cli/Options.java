package org.trefoilpost.cli;

import com.beust.jcommander.Parameter;

/**
 * The flags of a command line, parsed by JCommander.
 */
final class Options {
    @Parameter(names = "--entry", description = "comma-separated list of entries, each as address:port")
    private String entry;

    @Parameter(names = "--token", description = "bearer token for the operator API")
    private String token;

    @Parameter(
            names = "--operator",
            description = "name of the operator, recorded with confirmations and cancellations")
    private String operator;

    @Parameter(names = "--output", description = "output format: text or json")
    private String output;

    @Parameter(names = "--timeout", description = "seconds to wait for a response")
    private String timeout;

    @Parameter(names = "--expected", description = "configuration version that must be in force")
    private String expected;

    @Parameter(names = "--worker", description = "worker")
    private String worker;

    @Parameter(names = "--rack", description = "rack")
    private String rack;

    @Parameter(names = "--data-centre", description = "data centre")
    private String dataCentre;

    @Parameter(names = "--pool", description = "pool")
    private String pool;

    @Parameter(names = "--by", description = "number of instances to add or remove")
    private String by;

    @Parameter(names = "--since", description = "earliest time of events, in milliseconds since the Unix epoch")
    private String since;

    @Parameter(names = "--verbose", description = "log to standard error")
    private boolean verbose;

    @Parameter(
            names = {"--help", "-h"},
            description = "print this help",
            help = true)
    private boolean help;

    @Parameter(names = "--version", description = "print the version", help = true)
    private boolean version;

    boolean isVerbose() {
        return verbose;
    }

    boolean isHelp() {
        return help;
    }

    boolean isVersion() {
        return version;
    }

    /** Returns the value of a flag, or null if it was not given. */
    String value(String flag) {
        return switch (flag) {
            case "--entry" -> entry;
            case "--token" -> token;
            case "--operator" -> operator;
            case "--output" -> output;
            case "--timeout" -> timeout;
            case "--expected" -> expected;
            case "--worker" -> worker;
            case "--rack" -> rack;
            case "--data-centre" -> dataCentre;
            case "--pool" -> pool;
            case "--by" -> by;
            case "--since" -> since;
            default -> throw new IllegalArgumentException(flag);
        };
    }
}
