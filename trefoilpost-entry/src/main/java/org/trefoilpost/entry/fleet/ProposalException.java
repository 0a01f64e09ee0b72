package org.trefoilpost.entry.fleet;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.decision.plan.Plan;

/**
 * An operator's wish about a plan that was not met.
 */
public final class ProposalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final transient Plan replacement;

    private ProposalException(Kind kind, String message, Plan fresh) {
        super(message);
        this.kind = Objects.requireNonNull(kind, "kind");
        this.replacement = fresh;
    }

    /**
     * Obtains a failure.
     *
     * @param kind  the kind of the failure, not null
     * @param message  what is wrong, not null
     * @return the failure, not null
     */
    static ProposalException of(Kind kind, String message) {
        return new ProposalException(kind, message, null);
    }

    /**
     * Obtains the failure of a confirmation of a plan that is out of date.
     *
     * @param message  who or what changed the plan's ground, not null
     * @param fresh  the plan that the same intent gives now, not null
     * @return the failure, not null
     */
    static ProposalException outOfDate(String message, Plan fresh) {
        return new ProposalException(Kind.VOID, message, Objects.requireNonNull(fresh, "fresh"));
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the plan that the same intent gives now.
     *
     * @return the plan, empty unless the plan was out of date, not null
     */
    public Optional<Plan> replacement() {
        return Optional.ofNullable(replacement);
    }

    /**
     * Kinds of failures.
     */
    public enum Kind {
        /** No plan has the digest. */
        UNKNOWN_PLAN,
        /** The plan's ground has changed. */
        VOID,
        /** The plan has no steps. */
        NOTHING_TO_DO,
        /** The plan has ended. */
        ENDED,
        /** Others changed the same documents too often. */
        CONTENTION
    }
}
