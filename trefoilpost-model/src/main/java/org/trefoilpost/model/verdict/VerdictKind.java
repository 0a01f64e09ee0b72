package org.trefoilpost.model.verdict;

/**
 * Tells whether a request ran.
 */
public enum VerdictKind {
    /** The request ran, and its answer is complete. */
    ANSWERED("answered"),
    /** The request did not run and never will. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    MAY_HAVE_RUN("may-have-run");

    private final String code;

    VerdictKind(String code) {
        this.code = code;
    }

    /**
     * Returns the stable code of this kind, as the {@code Trefoilpost-Verdict} header carries it.
     *
     * @return the code, not null
     */
    public String code() {
        return code;
    }
}
