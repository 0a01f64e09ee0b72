package org.trefoilpost.cli;

/**
 * The result of a command, as reported by the exit code of the process.
 */
public enum ExitCode {
    /** The command was carried out. */
    OK(0),
    /** The entry refused the command; nothing was changed. */
    REFUSED(1),
    /** The command line or a file is invalid; nothing was sent. */
    WRONG_USAGE(2),
    /** No entry could be reached; nothing was changed. */
    UNREACHABLE(3),
    /** The command may or may not have been carried out. */
    OUTCOME_UNKNOWN(4),
    /** Another change was accepted first, or the plan is void; nothing was changed. */
    CONFLICT(5);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the code, from 0 to 5
     */
    public int code() {
        return code;
    }
}
