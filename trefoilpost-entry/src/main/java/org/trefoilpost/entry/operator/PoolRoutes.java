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
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest call) {
        if (call.matches("GET", "v1", "pools")) {
            return Optional.of(services.reports().pools().thenApply(report -> OperatorResponse.json(200, report)));
        }
        if (call.matches("GET", "v1", "pools", "*")) {
            return Optional.of(pool(PoolName.of(call.segment(2))));
        }
        return call.matches("GET", "v1", "events") ? Optional.of(events(call)) : Optional.empty();
    }

    private CompletableFuture<OperatorResponse> pool(PoolName name) {
        return services.reports()
                .pool(name)
                .thenApply(report -> report.map(node -> OperatorResponse.json(200, node))
                        .orElseGet(() -> OperatorResponse.problem(404, "unknown-pool", "there is no pool " + name)));
    }

    private CompletableFuture<OperatorResponse> events(OperatorRequest call) {
        Optional<PoolName> pool = call.queryParameter("pool").map(PoolName::of);
        long sinceMillis =
                call.queryParameter("since").map(PoolRoutes::parseSince).orElse(0L);
        return services.reports().events(pool, sinceMillis).thenApply(report -> OperatorResponse.json(200, report));
    }

    private static long parseSince(String time) {
        try {
            return Instant.parse(time).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException("since is '" + time + "': a time such as 2026-01-31T12:00:00Z", e);
        }
    }
}
