package org.trefoilpost.entry.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.trefoilpost.decision.plan.CancelIntent;
import org.trefoilpost.decision.plan.Intent;
import org.trefoilpost.decision.plan.IntentCodec;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.entry.fleet.FleetReports;

/**
 * Proposes, confirms, cancels and reports plans.
 */
final class PlanRoutes implements OperatorRoutes {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String UNNAMED = "unnamed";
    private static final long POLL_INTERVAL_MILLIS = 250;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final OperatorServices services;

    PlanRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest call) {
        if (call.matches("POST", "v1", "plans")) {
            return Optional.of(propose(call));
        } else if (call.matches("GET", "v1", "plans")) {
            return Optional.of(services.reports().plans().thenApply(report -> OperatorResponse.json(200, report)));
        } else if (call.matches("GET", "v1", "plans", "*")) {
            return Optional.of(show(call));
        } else if (call.matches("GET", "v1", "plans", "*", "explain")) {
            PlanDigest digest = digest(call);
            return Optional.of(services.reports().explain(digest).thenApply(report -> reportResponse(digest, report)));
        } else if (call.matches("POST", "v1", "plans", "*", "confirm")) {
            return Optional.of(confirm(call));
        } else if (call.matches("POST", "v1", "plans", "*", "cancel")) {
            return Optional.of(cancel(digest(call), operator(call)));
        }
        return Optional.empty();
    }

    private CompletableFuture<OperatorResponse> propose(OperatorRequest call) {
        Intent intent = IntentCodec.parse(call.body());
        if (intent instanceof CancelIntent cancel) {
            return cancel(cancel.plan(), operator(call));
        }
        return services.plans()
                .propose(intent)
                .thenApply(plan -> OperatorResponse.json(201, FleetReports.proposal(plan)));
    }

    private CompletableFuture<OperatorResponse> confirm(OperatorRequest call) {
        PlanDigest digest = digest(call);
        return services.plans().confirm(digest, operator(call)).thenCompose(plan -> report(digest));
    }

    private CompletableFuture<OperatorResponse> cancel(PlanDigest digest, String operator) {
        return services.plans().cancel(digest, operator).thenCompose(state -> report(digest));
    }

    private CompletableFuture<OperatorResponse> show(OperatorRequest call) {
        PlanDigest digest = digest(call);
        long after = call.queryParameter("after").map(Long::parseLong).orElse(-1L);
        long waitMillis = call.queryParameter("wait").map(Long::parseLong).orElse(0L);
        long untilMillis = services.clock().nowMillis() + Math.min(waitMillis, MAX_WAIT_MILLIS);
        return show(digest, after, untilMillis);
    }

    private CompletableFuture<OperatorResponse> show(PlanDigest digest, long after, long untilMillis) {
        return services.reports().plan(digest).thenCompose(report -> {
            boolean unchanged =
                    report.isPresent() && report.get().path("revision").asLong() == after;
            if (!unchanged || services.clock().nowMillis() >= untilMillis) {
                return CompletableFuture.completedFuture(reportResponse(digest, report));
            }
            return CompletableFuture.supplyAsync(
                            () -> digest,
                            CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS))
                    .thenCompose(same -> show(same, after, untilMillis));
        });
    }

    private CompletableFuture<OperatorResponse> report(PlanDigest digest) {
        return services.reports().plan(digest).thenApply(report -> reportResponse(digest, report));
    }

    private static OperatorResponse reportResponse(PlanDigest digest, Optional<ObjectNode> report) {
        return report.map(node -> OperatorResponse.json(200, node))
                .orElseGet(
                        () -> OperatorResponse.problem(404, "unknown-plan", "no plan has the digest " + digest.text()));
    }

    private static PlanDigest digest(OperatorRequest call) {
        return PlanDigest.parse(call.segment(2));
    }

    private static String operator(OperatorRequest call) {
        if (call.body().length == 0) {
            return UNNAMED;
        }
        try {
            JsonNode node = MAPPER.readTree(call.body());
            return node.path("operator").asText(UNNAMED);
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not JSON: " + e.getMessage(), e);
        }
    }
}
