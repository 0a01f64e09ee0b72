package org.trefoilpost.entry.peer;

/**
 * Answers a {@link DrainQuery} with the number of requests that the entry has in flight on the cordoned worker.
 */
public final class DrainAnswer implements PeerReply {
    private final long callId;
    private final int acknowledgedAttempt;
    private final int inFlight;

    private DrainAnswer(long callId, int acknowledgedAttempt, int inFlight) {
        this.callId = callId;
        this.acknowledgedAttempt = acknowledgedAttempt;
        this.inFlight = inFlight;
    }

    /**
     * Creates the message.
     *
     * @param callId  the identifier of the call, unique among the calls on a connection
     * @param acknowledgedAttempt  the newest attempt of the step whose cordon the entry acknowledged
     * @param inFlight  the number of requests in flight, not negative
     * @return the message, not null
     */
    public static DrainAnswer of(long callId, int acknowledgedAttempt, int inFlight) {
        return new DrainAnswer(callId, acknowledgedAttempt, inFlight);
    }

    @Override
    public long callId() {
        return callId;
    }

    /**
     * Returns the newest attempt of the step whose cordon the entry acknowledged.
     *
     * @return the newest attempt of the step whose cordon the entry acknowledged
     */
    public int acknowledgedAttempt() {
        return acknowledgedAttempt;
    }

    /**
     * Returns the number of requests in flight on the worker.
     *
     * @return the number of requests in flight, not negative
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DrainAnswer(" + callId + ", " + acknowledgedAttempt + ", " + inFlight + ")";
    }
}
