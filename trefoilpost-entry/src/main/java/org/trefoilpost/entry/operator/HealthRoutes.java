package org.trefoilpost.entry.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Handles the liveness and readiness checks, which need no token.
 */
final class HealthRoutes implements OperatorRoutes {
    private final OperatorServices services;

    HealthRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest request) {
        if (request.matches("GET", "live")) {
            return Optional.of(CompletableFuture.completedFuture(OperatorResponse.text(200, "live\n")));
        }
        return request.matches("GET", "ready")
                ? Optional.of(CompletableFuture.completedFuture(readiness()))
                : Optional.empty();
    }

    private OperatorResponse readiness() {
        Optional<RefusalReason> refusalReason = services.refusalReason();
        return refusalReason
                .map(reason -> OperatorResponse.text(503, reason.code() + "\n"))
                .orElseGet(() -> OperatorResponse.text(200, "ready\n"));
    }
}
