package org.trefoilpost.standins.http;

import java.util.concurrent.CompletableFuture;

/**
 * Answers HTTP calls without blocking the calling thread.
 */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers a call.
     *
     * @param call  the call, not null
     * @return the answer when it is there, not null
     * @throws BadCallException if the call does not follow the contract
     */
    CompletableFuture<HttpAnswer> handle(HttpCall call);
}
