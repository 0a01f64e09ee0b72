package org.trefoilpost.entry.operator;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.PoolName;

/**
 * Reports pools and events.
 */
final class PoolRoutes implements OperatorRoutes {
    private final OperatorServices services;

    PoolRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorAnswer>> route(OperatorCall call) {
        if (call.fits("GET", "v1", "pools")) {
            return Optional.of(services.reports().pools().thenApply(report -> OperatorAnswer.json(200, report)));
        }
        if (call.fits("GET", "v1", "pools", "*")) {
            return Optional.of(pool(PoolName.of(call.segment(2))));
        }
        return call.fits("GET", "v1", "events") ? Optional.of(events(call)) : Optional.empty();
    }

    private CompletableFuture<OperatorAnswer> pool(PoolName name) {
        return services.reports()
                .pool(name)
                .thenApply(report -> report.map(node -> OperatorAnswer.json(200, node))
                        .orElseGet(() -> OperatorAnswer.problem(404, "unknown-pool", "there is no pool " + name)));
    }

    private CompletableFuture<OperatorAnswer> events(OperatorCall call) {
        Optional<PoolName> pool = call.parameter("pool").map(PoolName::of);
        long sinceMillis = call.parameter("since").map(PoolRoutes::millis).orElse(0L);
        return services.reports().events(pool, sinceMillis).thenApply(report -> OperatorAnswer.json(200, report));
    }

    private static long millis(String time) {
        try {
            return Instant.parse(time).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException("since is '" + time + "': a time such as 2026-01-31T12:00:00Z", e);
        }
    }
}
