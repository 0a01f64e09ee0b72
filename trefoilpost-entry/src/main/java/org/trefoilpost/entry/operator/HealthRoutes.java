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
    public Optional<CompletableFuture<OperatorAnswer>> route(OperatorCall call) {
        if (call.fits("GET", "live")) {
            return Optional.of(CompletableFuture.completedFuture(OperatorAnswer.text(200, "live\n")));
        }
        return call.fits("GET", "ready") ? Optional.of(CompletableFuture.completedFuture(ready())) : Optional.empty();
    }

    private OperatorAnswer ready() {
        Optional<RefusalReason> closed = services.closed();
        return closed.map(reason -> OperatorAnswer.text(503, reason.code() + "\n"))
                .orElseGet(() -> OperatorAnswer.text(200, "ready\n"));
    }
}
