package org.trefoilpost.entry.target;

import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.Endpoint;

/**
 * Sends requests to targets, each at most once: failures are not retried here.
 */
public interface TargetClient {
    /**
     * Sends a request.
     *
     * <p>The future completes with the whole response or, if the body is larger than the buffer limit, when the body begins
     * to stream. Cancelling it ends the exchange, after which the target may have run the request.
     *
     * @param request  the request to send, not null
     * @return the future response, which fails with a {@link TargetException}, not null
     */
    CompletableFuture<TargetResponse> send(TargetRequest request);

    /**
     * Closes the connections to a target that is no longer in use, after their exchanges have ended.
     *
     * @param endpoint  the target's endpoint, not null
     */
    void closeConnections(Endpoint endpoint);
}
