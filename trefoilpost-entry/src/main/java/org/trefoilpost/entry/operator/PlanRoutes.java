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
 * Handles requests that propose, confirm, cancel, report or explain plans.
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
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest request) {
        if (request.matches("POST", "v1", "plans")) {
            return Optional.of(propose(request));
        } else if (request.matches("GET", "v1", "plans")) {
            return Optional.of(services.reports().plans().thenApply(report -> OperatorResponse.json(200, report)));
        } else if (request.matches("GET", "v1", "plans", "*")) {
            return Optional.of(show(request));
        } else if (request.matches("GET", "v1", "plans", "*", "explain")) {
            PlanDigest digest = digest(request);
            return Optional.of(services.reports().explain(digest).thenApply(report -> reportResponse(digest, report)));
        } else if (request.matches("POST", "v1", "plans", "*", "confirm")) {
            return Optional.of(confirm(request));
        } else if (request.matches("POST", "v1", "plans", "*", "cancel")) {
            return Optional.of(cancel(digest(request), operator(request)));
        }
        return Optional.empty();
    }

    private CompletableFuture<OperatorResponse> propose(OperatorRequest request) {
        Intent intent = IntentCodec.parse(request.body());
        if (intent instanceof CancelIntent cancel) {
            return cancel(cancel.plan(), operator(request));
        }
        return services.plans()
                .propose(intent)
                .thenApply(plan -> OperatorResponse.json(201, FleetReports.proposal(plan)));
    }

    private CompletableFuture<OperatorResponse> confirm(OperatorRequest request) {
        PlanDigest digest = digest(request);
        return services.plans().confirm(digest, operator(request)).thenCompose(plan -> report(digest));
    }

    private CompletableFuture<OperatorResponse> cancel(PlanDigest digest, String operator) {
        return services.plans().cancel(digest, operator).thenCompose(state -> report(digest));
    }

    private CompletableFuture<OperatorResponse> show(OperatorRequest request) {
        PlanDigest digest = digest(request);
        long knownRevision =
                request.queryParameter("after").map(Long::parseLong).orElse(-1L);
        long waitMillis = request.queryParameter("wait").map(Long::parseLong).orElse(0L);
        long deadlineMillis = services.clock().nowMillis() + Math.min(waitMillis, MAX_WAIT_MILLIS);
        return show(digest, knownRevision, deadlineMillis);
    }

    private CompletableFuture<OperatorResponse> show(PlanDigest digest, long knownRevision, long deadlineMillis) {
        return services.reports().plan(digest).thenCompose(report -> {
            boolean unchanged =
                    report.isPresent() && report.get().path("revision").asLong() == knownRevision;
            if (!unchanged || services.clock().nowMillis() >= deadlineMillis) {
                return CompletableFuture.completedFuture(reportResponse(digest, report));
            }
            return CompletableFuture.supplyAsync(
                            () -> digest,
                            CompletableFuture.delayedExecutor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS))
                    .thenCompose(unchangedDigest -> show(unchangedDigest, knownRevision, deadlineMillis));
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

    private static PlanDigest digest(OperatorRequest request) {
        return PlanDigest.parse(request.segment(2));
    }

    private static String operator(OperatorRequest request) {
        if (request.body().length == 0) {
            return UNNAMED;
        }
        try {
            JsonNode node = MAPPER.readTree(request.body());
            return node.path("operator").asText(UNNAMED);
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not JSON: " + e.getMessage(), e);
        }
    }
}
