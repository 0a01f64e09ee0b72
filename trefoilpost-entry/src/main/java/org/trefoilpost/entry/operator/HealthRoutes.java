package org.trefoilpost.entry.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Health, which needs no token.
 */
final class HealthRoutes implements OperatorRoutes {
    private final OperatorServices services;

    HealthRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest call) {
        if (call.matches("GET", "live")) {
            return Optional.of(CompletableFuture.completedFuture(OperatorResponse.text(200, "live\n")));
        }
        return call.matches("GET", "ready")
                ? Optional.of(CompletableFuture.completedFuture(readiness()))
                : Optional.empty();
    }

    private OperatorResponse readiness() {
        Optional<RefusalReason> closed = services.refusalReason();
        return closed.map(reason -> OperatorResponse.text(503, reason.code() + "\n"))
                .orElseGet(() -> OperatorResponse.text(200, "ready\n"));
    }
}
