package org.trefoilpost.entry.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Calls of operators about one subject.
 */
interface OperatorRoutes {
    /**
     * Answers a call, if it is about this subject.
     *
     * @param call  the call, not null
     * @return the answer, empty if the call is about another subject, not null
     */
    Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest call);
}
