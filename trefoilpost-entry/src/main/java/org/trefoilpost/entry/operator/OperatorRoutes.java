package org.trefoilpost.entry.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Handles the operators' requests for one group of resources.
 */
interface OperatorRoutes {
    /**
     * Handles a request, if it matches one of these routes.
     *
     * @param request  the request, not null
     * @return the response, empty if no route matches, not null
     */
    Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest request);
}
