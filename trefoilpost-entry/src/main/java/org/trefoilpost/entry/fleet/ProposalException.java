package org.trefoilpost.entry.fleet;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.decision.plan.Plan;

/**
 * Thrown when a plan cannot be confirmed or cancelled.
 */
public final class ProposalException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final transient Plan replacement;

    private ProposalException(Kind kind, String message, Plan replacement) {
        super(message);
        this.kind = Objects.requireNonNull(kind, "kind");
        this.replacement = replacement;
    }

    /**
     * Obtains an exception.
     *
     * @param kind  the kind of the failure, not null
     * @param message  what is wrong, not null
     * @return the exception, not null
     */
    static ProposalException of(Kind kind, String message) {
        return new ProposalException(kind, message, null);
    }

    /**
     * Obtains the exception for the confirmation of a plan that is out of date.
     *
     * @param message  which plans or document changes made the plan out of date, not null
     * @param replacement  the plan computed for the same intent from the current state, not null
     * @return the exception, not null
     */
    static ProposalException outOfDate(String message, Plan replacement) {
        return new ProposalException(Kind.VOID, message, Objects.requireNonNull(replacement, "replacement"));
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
     * Returns the plan computed for the same intent from the current state.
     *
     * @return the plan, empty unless the kind is {@code VOID}, not null
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
        /** Documents that the plan was computed from have changed. */
        VOID,
        /** The plan has no steps. */
        NOTHING_TO_DO,
        /** The plan has ended. */
        ENDED,
        /** Concurrent changes of the same document made every attempt fail. */
        CONTENTION
    }
}
