package org.trefoilpost.decision.configuration;

import java.util.Optional;

/**
 * How an operator's change ended.
 */
public final class ChangeOutcome {
    /** What is known of a change. */
    public enum Kind {
        /** The change is in force, or will be within seconds. */
        ACCEPTED,
        /** The change is not in force and never will be. */
        REFUSED,
        /** The change may or may not be accepted; the head tells. */
        UNKNOWN
    }

    private final Kind kind;
    private final long version;
    private final Optional<ChangeRefusal> refusal;

    private ChangeOutcome(Kind kind, long version, Optional<ChangeRefusal> refusal) {
        this.kind = kind;
        this.version = version;
        this.refusal = refusal;
    }

    /**
     * Obtains the outcome of an accepted change.
     *
     * @param version  the version that the change made
     * @return the outcome, not null
     */
    public static ChangeOutcome accepted(long version) {
        return new ChangeOutcome(Kind.ACCEPTED, version, Optional.empty());
    }

    /**
     * Obtains the outcome of a refused change.
     *
     * @param refusal  the reason, not null
     * @param versionInForce  the version in force, as far as known
     * @return the outcome, not null
     */
    public static ChangeOutcome refused(ChangeRefusal refusal, long versionInForce) {
        return new ChangeOutcome(Kind.REFUSED, versionInForce, Optional.of(refusal));
    }

    /**
     * Obtains the outcome of a change whose answer from the store was lost and could not be settled in time.
     *
     * @param version  the version that the change makes if it was accepted
     * @return the outcome, not null
     */
    public static ChangeOutcome unknown(long version) {
        return new ChangeOutcome(Kind.UNKNOWN, version, Optional.empty());
    }

    /**
     * Returns what is known of the change.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the version that the change made or would make, or the version in force for a refused change.
     *
     * @return the version, not negative
     */
    public long version() {
        return version;
    }

    /**
     * Returns why the change was refused.
     *
     * @return the reason, not null, empty if the change was not refused
     */
    public Optional<ChangeRefusal> refusal() {
        return refusal;
    }

    /**
     * Returns the kind, the version and the reason.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind + " " + version + refusal.map(reason -> " " + reason).orElse("");
    }
}
