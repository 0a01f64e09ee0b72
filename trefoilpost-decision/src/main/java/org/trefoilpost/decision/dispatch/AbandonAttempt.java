package org.trefoilpost.decision.dispatch;

/**
 * Action that abandons the attempt in flight of a request; a late answer is discarded.
 */
public final class AbandonAttempt implements DispatchAction {
    private final long requestId;

    private AbandonAttempt(long requestId) {
        this.requestId = requestId;
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the id of the request
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
     * Returns the action and the id of the request.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "AbandonAttempt(" + requestId + ")";
    }
}
