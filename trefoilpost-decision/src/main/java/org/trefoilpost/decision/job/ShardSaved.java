package org.trefoilpost.decision.job;

import java.util.Objects;

/**
 * A write of the shard has an outcome.
 */
public final class ShardSaved implements JobEvent {
    private final SaveOutcome outcome;
    private final long revision;

    private ShardSaved(SaveOutcome outcome, long revision) {
        this.outcome = Objects.requireNonNull(outcome, "outcome");
        this.revision = revision;
    }

    /**
     * Obtains the value.
     *
     * @param outcome  the outcome, not null
     * @param revision  the new revision, 0 unless written
     * @return the value, not null
     */
    public static ShardSaved of(SaveOutcome outcome, long revision) {
        return new ShardSaved(outcome, revision);
    }

    /**
     * Returns the outcome.
     *
     * @return the outcome, not null
     */
    public SaveOutcome outcome() {
        return outcome;
    }

    /**
     * Returns the new revision, 0 unless written.
     *
     * @return the new revision, 0 unless written
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ShardSaved " + outcome + " " + revision;
    }
}
