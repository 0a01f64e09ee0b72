package org.trefoilpost.decision.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.verdict.UncertaintyReason;

/**
 * How an attempt at a worker ended.
 */
public final class AttemptResult {
    private static final AttemptResult ANSWERED = new AttemptResult(Kind.ANSWERED, null);
    private static final AttemptResult SERVER_ERROR = new AttemptResult(Kind.SERVER_ERROR, null);
    private static final AttemptResult NOT_STARTED = new AttemptResult(Kind.NOT_STARTED, null);
    private static final AttemptResult NOT_SENT = new AttemptResult(Kind.NOT_SENT, null);
    private static final AttemptResult NOT_CONNECTED = new AttemptResult(Kind.NOT_CONNECTED, null);

    private final Kind kind;
    private final UncertaintyReason uncertainty;

    private AttemptResult(Kind kind, UncertaintyReason uncertainty) {
        this.kind = kind;
        this.uncertainty = uncertainty;
    }

    /**
     * Returns the result of an attempt that brought the whole answer.
     *
     * @return the result, not null
     */
    public static AttemptResult answered() {
        return ANSWERED;
    }

    /**
     * Returns the result of an attempt that brought the whole answer, which tells of a failure of the worker itself.
     *
     * @return the result, not null
     */
    public static AttemptResult serverError() {
        return SERVER_ERROR;
    }

    /**
     * Returns the result of an attempt that the worker rejected before it started.
     *
     * @return the result, not null
     */
    public static AttemptResult notStarted() {
        return NOT_STARTED;
    }

    /**
     * Returns the result of an attempt that this entry did not send, for want of a connection of its own.
     *
     * @return the result, not null
     */
    public static AttemptResult notSent() {
        return NOT_SENT;
    }

    /**
     * Returns the result of an attempt at a worker that could not be connected to.
     *
     * @return the result, not null
     */
    public static AttemptResult notConnected() {
        return NOT_CONNECTED;
    }

    /**
     * Obtains the result of an attempt that may have run.
     *
     * @param reason  the reason of the uncertainty, not null
     * @return the result, not null
     */
    public static AttemptResult mayHaveRun(UncertaintyReason reason) {
        return new AttemptResult(Kind.DOUBTFUL, Objects.requireNonNull(reason, "reason"));
    }

    /**
     * Returns how the attempt ended.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns why the request may have run.
     *
     * @return the reason, empty unless the result is doubtful, not null
     */
    public Optional<UncertaintyReason> uncertainty() {
        return Optional.ofNullable(uncertainty);
    }

    /**
     * Returns the kind.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return uncertainty == null ? kind.name() : kind + "(" + uncertainty.code() + ")";
    }

    /**
     * Kinds of results.
     */
    public enum Kind {
        /** The whole answer came. */
        ANSWERED,
        /** The whole answer came and tells of a failure of the worker itself. */
        SERVER_ERROR,
        /** The worker rejected the request before it started. */
        NOT_STARTED,
        /** This entry did not send the request. */
        NOT_SENT,
        /** The worker could not be connected to. */
        NOT_CONNECTED,
        /** The request may have run. */
        DOUBTFUL
    }
}
