package org.trefoilpost.entry.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.configuration.ConfigurationStatus;

/**
 * The entry's status and metrics.
 */
final class StatusRoutes implements OperatorRoutes {
    private final OperatorServices services;

    StatusRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest call) {
        if (call.matches("GET", "metrics")) {
            String metrics = services.metrics().scrape();
            return Optional.of(CompletableFuture.completedFuture(OperatorResponse.text(200, metrics)));
        }
        return call.matches("GET", "v1", "status")
                ? Optional.of(CompletableFuture.completedFuture(OperatorResponse.json(200, statusReport())))
                : Optional.empty();
    }

    private ObjectNode statusReport() {
        ConfigurationStatus configuration = services.configuration().status();
        ObjectNode node = OperatorResponse.newObject()
                .put("entry", services.entry().text())
                .put("version", ProgramVersion.current())
                .put("ready", services.refusalReason().isEmpty())
                .put("configurationVersion", configuration.version());
        long nowMillis = services.clock().nowMillis();
        configuration.confirmedAsOfMillis().ifPresent(asOf -> node.put("configurationAgeMillis", nowMillis - asOf));
        node.put("store", services.membership().isStoreReachable() ? "up" : "down");
        ArrayNode peers = node.putArray("peers");
        services.membership()
                .livePeers()
                .forEach(member -> peers.addObject()
                        .put("entry", member.id().text())
                        .put("endpoint", member.endpoint().toString())
                        .put("state", "live"));
        return node;
    }
}
