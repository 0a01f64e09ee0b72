package org.trefoilpost.cli;

import java.util.List;

/**
 * Entry point of the operators' command line.
 */
public final class Main {
    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments  the words and flags, not null
     */
    public static void main(String[] arguments) {
        if (List.of(arguments).contains("--verbose")) {
            System.setProperty("trefoilpost.log.level", "DEBUG");
        }
        ExitCode exitCode = new CommandLine(System.getenv(), System.out, System.err).run(arguments);
        System.out.flush();
        Runtime.getRuntime().halt(exitCode.code());
    }
}
