package org.trefoilpost.cli;

/**
 * Thrown when a call got no answer; tells whether it may have been carried out.
 */
final class ApiException extends Exception {
    private final ExitCode exitCode;

    ApiException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
