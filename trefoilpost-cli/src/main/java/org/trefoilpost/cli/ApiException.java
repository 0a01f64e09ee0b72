package org.trefoilpost.cli;

/**
 * Thrown when no entry responded to a request; the exit code tells whether the request may have been carried out.
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
