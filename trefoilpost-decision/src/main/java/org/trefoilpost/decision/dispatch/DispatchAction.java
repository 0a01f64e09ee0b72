package org.trefoilpost.decision.dispatch;

/**
 * An action for a request, which the caller of the dispatcher carries out.
 */
public sealed interface DispatchAction permits StartAttempt, AbandonAttempt, DeliverVerdict {
    /**
     * Returns the id of the request.
     *
     * @return the id, unique in its entry
     */
    long requestId();
}
