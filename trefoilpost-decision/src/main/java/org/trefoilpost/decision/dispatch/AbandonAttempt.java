package org.trefoilpost.decision.dispatch;

/**
 * Ends the attempt under way of a request; its answer is dropped if it comes.
 */
public final class AbandonAttempt implements DispatchAction {
    private final long requestId;

    private AbandonAttempt(long requestId) {
        this.requestId = requestId;
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the number of the request
     * @return the instance, not null
     */
    static AbandonAttempt of(long requestId) {
        return new AbandonAttempt(requestId);
    }

    @Override
    public long requestId() {
        return requestId;
    }

    /**
     * Returns the request.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "AbandonAttempt(" + requestId + ")";
    }
}
