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
    private static final long POLL_MILLIS = 250;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final OperatorServices services;

    PlanRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorAnswer>> route(OperatorCall call) {
        if (call.fits("POST", "v1", "plans")) {
            return Optional.of(propose(call));
        } else if (call.fits("GET", "v1", "plans")) {
            return Optional.of(services.reports().plans().thenApply(report -> OperatorAnswer.json(200, report)));
        } else if (call.fits("GET", "v1", "plans", "*")) {
            return Optional.of(show(call));
        } else if (call.fits("GET", "v1", "plans", "*", "explain")) {
            PlanDigest digest = digest(call);
            return Optional.of(services.reports().explain(digest).thenApply(report -> answer(digest, report)));
        } else if (call.fits("POST", "v1", "plans", "*", "confirm")) {
            return Optional.of(confirm(call));
        } else if (call.fits("POST", "v1", "plans", "*", "cancel")) {
            return Optional.of(cancel(digest(call), operator(call)));
        }
        return Optional.empty();
    }

    private CompletableFuture<OperatorAnswer> propose(OperatorCall call) {
        Intent intent = IntentCodec.parse(call.body());
        if (intent instanceof CancelIntent cancel) {
            return cancel(cancel.plan(), operator(call));
        }
        return services.plans()
                .propose(intent)
                .thenApply(plan -> OperatorAnswer.json(201, FleetReports.proposal(plan)));
    }

    private CompletableFuture<OperatorAnswer> confirm(OperatorCall call) {
        PlanDigest digest = digest(call);
        return services.plans().confirm(digest, operator(call)).thenCompose(plan -> report(digest));
    }

    private CompletableFuture<OperatorAnswer> cancel(PlanDigest digest, String operator) {
        return services.plans().cancel(digest, operator).thenCompose(state -> report(digest));
    }

    private CompletableFuture<OperatorAnswer> show(OperatorCall call) {
        PlanDigest digest = digest(call);
        long after = call.parameter("after").map(Long::parseLong).orElse(-1L);
        long waitMillis = call.parameter("wait").map(Long::parseLong).orElse(0L);
        long untilMillis = services.clock().nowMillis() + Math.min(waitMillis, MAX_WAIT_MILLIS);
        return show(digest, after, untilMillis);
    }

    private CompletableFuture<OperatorAnswer> show(PlanDigest digest, long after, long untilMillis) {
        return services.reports().plan(digest).thenCompose(report -> {
            boolean unchanged =
                    report.isPresent() && report.get().path("revision").asLong() == after;
            if (!unchanged || services.clock().nowMillis() >= untilMillis) {
                return CompletableFuture.completedFuture(answer(digest, report));
            }
            return CompletableFuture.supplyAsync(
                            () -> digest, CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS))
                    .thenCompose(same -> show(same, after, untilMillis));
        });
    }

    private CompletableFuture<OperatorAnswer> report(PlanDigest digest) {
        return services.reports().plan(digest).thenApply(report -> answer(digest, report));
    }

    private static OperatorAnswer answer(PlanDigest digest, Optional<ObjectNode> report) {
        return report.map(node -> OperatorAnswer.json(200, node))
                .orElseGet(
                        () -> OperatorAnswer.problem(404, "unknown-plan", "no plan has the digest " + digest.text()));
    }

    private static PlanDigest digest(OperatorCall call) {
        return PlanDigest.parse(call.segment(2));
    }

    private static String operator(OperatorCall call) {
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
