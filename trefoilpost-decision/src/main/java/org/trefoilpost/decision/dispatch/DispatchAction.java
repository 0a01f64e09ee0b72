package org.trefoilpost.decision.dispatch;

/**
 * What is to be done for a request.
 */
public sealed interface DispatchAction permits StartAttempt, AbandonAttempt, DeliverVerdict {
    /**
     * Returns the number of the request.
     *
     * @return the number, unique in its entry
     */
    long requestId();
}
