package org.trefoilpost.cli;

import com.beust.jcommander.Parameter;

/**
 * The flags of a command line, as JCommander reads them.
 */
final class Options {
    @Parameter(names = "--entry", description = "address:port of one or more entries, with commas between them")
    private String entry;

    @Parameter(names = "--token", description = "token of the operators' interface")
    private String token;

    @Parameter(names = "--operator", description = "name of the operator, for the record")
    private String operator;

    @Parameter(names = "--output", description = "text or json")
    private String output;

    @Parameter(names = "--timeout", description = "seconds to wait for an answer")
    private String timeout;

    @Parameter(names = "--expected", description = "version that must be in force")
    private String expected;

    @Parameter(names = "--worker", description = "worker")
    private String worker;

    @Parameter(names = "--rack", description = "rack")
    private String rack;

    @Parameter(names = "--data-centre", description = "data centre")
    private String dataCentre;

    @Parameter(names = "--pool", description = "pool")
    private String pool;

    @Parameter(names = "--by", description = "number of instances")
    private String by;

    @Parameter(names = "--since", description = "earliest time, in milliseconds since 1970")
    private String since;

    @Parameter(names = "--verbose", description = "log to the standard error output")
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
