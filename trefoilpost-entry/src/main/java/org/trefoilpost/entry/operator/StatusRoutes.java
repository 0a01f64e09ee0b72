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
    public Optional<CompletableFuture<OperatorAnswer>> route(OperatorCall call) {
        if (call.fits("GET", "metrics")) {
            String metrics = services.metrics().scrape();
            return Optional.of(CompletableFuture.completedFuture(OperatorAnswer.text(200, metrics)));
        }
        return call.fits("GET", "v1", "status")
                ? Optional.of(CompletableFuture.completedFuture(OperatorAnswer.json(200, status())))
                : Optional.empty();
    }

    private ObjectNode status() {
        ConfigurationStatus configuration = services.configuration().status();
        ObjectNode node = OperatorAnswer.members()
                .put("entry", services.entry().text())
                .put("version", Versions.program())
                .put("ready", services.closed().isEmpty())
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
