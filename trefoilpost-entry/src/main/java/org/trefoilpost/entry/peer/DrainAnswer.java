package org.trefoilpost.entry.peer;

/**
 * Tells how many requests an entry has in flight on a cordoned worker.
 */
public final class DrainAnswer implements PeerReply {
    private final long callId;
    private final int acknowledgedAttempt;
    private final int inFlight;

    private DrainAnswer(long callId, int acknowledged, int inFlight) {
        this.callId = callId;
        this.acknowledgedAttempt = acknowledged;
        this.inFlight = inFlight;
    }

    /**
     * Obtains a message.
     *
     * @param callId  the number of the call
     * @param acknowledged  the newest attempt of the step whose cordon the entry acknowledged
     * @param inFlight  the requests in flight, not negative
     * @return the message, not null
     */
    public static DrainAnswer of(long callId, int acknowledged, int inFlight) {
        return new DrainAnswer(callId, acknowledged, inFlight);
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
     * Returns the requests in flight.
     *
     * @return the requests in flight, not negative
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DrainAnswer(" + callId + ", " + acknowledgedAttempt + ", " + inFlight + ")";
    }
}
