package org.trefoilpost.decision.configuration;

import java.util.Optional;

/**
 * Outcome of an operator's change of the configuration.
 */
public final class ChangeOutcome {
    /** Whether a change was accepted. */
    public enum Kind {
        /** The change was accepted; it is in force or will be within seconds. */
        ACCEPTED,
        /** The change is not in force and never will be. */
        REFUSED,
        /** The change may or may not have been accepted; the recent changes in the head show which. */
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
     * @param versionInForce  the highest version known to this entry
     * @return the outcome, not null
     */
    public static ChangeOutcome refused(ChangeRefusal refusal, long versionInForce) {
        return new ChangeOutcome(Kind.REFUSED, versionInForce, Optional.of(refusal));
    }

    /**
     * Obtains the outcome of a change whose write of the head was not answered, and was not found in the head in time.
     *
     * @param version  the version that the change has if it was accepted
     * @return the outcome, not null
     */
    public static ChangeOutcome unknown(long version) {
        return new ChangeOutcome(Kind.UNKNOWN, version, Optional.empty());
    }

    /**
     * Returns whether the change was accepted.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the version of the change, or the highest version known to this entry if the change was refused.
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
