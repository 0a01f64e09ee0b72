package org.trefoilpost.entry.peer;

import java.util.Objects;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.WorkerId;

/**
 * Tells that a worker is uncordoned, and asks whether the peer gives it work again.
 */
public final class UncordonCall implements PeerCall {
    private final long callId;
    private final PlanDigest plan;
    private final int step;
    private final int attempt;
    private final WorkerId worker;
    private final long stoppedIncarnation;

    private UncordonCall(
            long callId, PlanDigest plan, int step, int attempt, WorkerId worker, long stoppedIncarnation) {
        this.callId = callId;
        this.plan = plan;
        this.step = step;
        this.attempt = attempt;
        this.worker = worker;
        this.stoppedIncarnation = stoppedIncarnation;
    }

    /**
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @param attempt  the attempt of the step
     * @param worker  the worker, not null
     * @param stoppedIncarnation  the incarnation that was stopped, 0 if none was
     * @return the message, not null
     */
    public static UncordonCall of(
            long callId, PlanDigest plan, int step, int attempt, WorkerId worker, long stoppedIncarnation) {
        return new UncordonCall(
                callId,
                Objects.requireNonNull(plan, "plan"),
                step,
                attempt,
                Objects.requireNonNull(worker, "worker"),
                stoppedIncarnation);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the digest of the plan.
     *
     * @return the digest, not null
     */
    public PlanDigest plan() {
        return plan;
    }

    /**
     * Returns the number of the step.
     *
     * @return the number
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step.
     *
     * @return the attempt
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the incarnation that was stopped.
     *
     * @return the incarnation, 0 if none was
     */
    public long stoppedIncarnation() {
        return stoppedIncarnation;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "UncordonCall(" + callId + ", " + plan + ", " + step + ", " + attempt + ", " + worker + ", "
                + stoppedIncarnation + ")";
    }
}
