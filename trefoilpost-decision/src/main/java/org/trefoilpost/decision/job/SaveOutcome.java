package org.trefoilpost.decision.job;

import java.util.Locale;

/**
 * The outcome of a write of a shard.
 */
public enum SaveOutcome {
    /** The write took effect. */
    WRITTEN,
    /** The document had another revision. */
    CONFLICT,
    /** No answer came; the write may have taken effect or may still do so. */
    UNKNOWN;
    /**
     * Returns the code in documents and answers.
     *
     * @return the code, not null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
