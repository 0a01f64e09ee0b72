package org.trefoilpost.entry.target;

import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.Endpoint;

/**
 * Sends requests to targets, each at most once.
 */
public interface TargetClient {
    /**
     * Sends a request and waits for the whole answer, or for the start of an answer that is larger than what is held.
     *
     * <p>A cancelled future ends the exchange; the target may have run the request.
     *
     * @param request  the request, not null
     * @return the answer, not null; fails with a {@link TargetException}
     */
    CompletableFuture<TargetResponse> send(TargetRequest request);

    /**
     * Closes the connections to a target that is no longer used.
     *
     * @param endpoint  the target's endpoint, not null
     */
    void closeConnections(Endpoint endpoint);
}
