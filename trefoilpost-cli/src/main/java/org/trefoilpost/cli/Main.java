package org.trefoilpost.cli;

import java.util.List;

/**
 * Main class of the command-line client for operators.
 */
public final class Main {
    private Main() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments  the words, arguments and flags of the command, not null
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
