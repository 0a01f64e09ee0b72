package org.trefoilpost.entry.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.configuration.ChangeOutcome;
import org.trefoilpost.decision.configuration.ChangeRefusal;
import org.trefoilpost.entry.log.Codes;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationCodec;

/**
 * Reads and changes the configuration.
 */
final class ConfigurationRoutes implements OperatorRoutes {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OperatorServices services;

    ConfigurationRoutes(OperatorServices services) {
        this.services = services;
    }

    @Override
    public Optional<CompletableFuture<OperatorResponse>> route(OperatorRequest call) {
        if (call.matches("GET", "v1", "configuration")) {
            return Optional.of(CompletableFuture.completedFuture(show()));
        }
        return call.matches("PUT", "v1", "configuration") ? Optional.of(change(call)) : Optional.empty();
    }

    private OperatorResponse show() {
        Optional<Configuration> configuration =
                services.configuration().status().configuration();
        if (configuration.isEmpty()) {
            return OperatorResponse.problem(404, "no-configuration", "no configuration is in force");
        }
        try {
            ObjectNode node = (ObjectNode) MAPPER.readTree(ConfigurationCodec.write(configuration.get()));
            return OperatorResponse.json(
                    200, node.put("version", configuration.get().version()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a configuration is written as JSON", e);
        }
    }

    private CompletableFuture<OperatorResponse> change(OperatorRequest call) {
        Configuration wanted = ConfigurationCodec.parse(new String(call.body(), StandardCharsets.UTF_8));
        OptionalLong expected = call.queryParameter("expected")
                .map(text -> OptionalLong.of(Long.parseLong(text)))
                .orElse(OptionalLong.empty());
        return services.configuration().change(wanted, expected).thenApply(ConfigurationRoutes::changeResponse);
    }

    private static OperatorResponse changeResponse(ChangeOutcome outcome) {
        return switch (outcome.kind()) {
            case ACCEPTED ->
                OperatorResponse.json(200, OperatorResponse.newObject().put("version", outcome.version()));
            case REFUSED -> refusalResponse(outcome);
            case UNKNOWN ->
                OperatorResponse.problem(
                        503,
                        "outcome-unknown",
                        "the store's answer was lost; read the configuration to see whether the change is in force",
                        OperatorResponse.newObject().put("outcome", "unknown"));
        };
    }

    private static OperatorResponse refusalResponse(ChangeOutcome outcome) {
        ChangeRefusal refusal = outcome.refusal().orElseThrow();
        String type = Codes.of(refusal);
        boolean conflict = refusal == ChangeRefusal.CONFLICT || refusal == ChangeRefusal.CONTENTION;
        return OperatorResponse.problem(
                conflict ? 409 : 503,
                type,
                "the change was refused: " + type + "; version " + outcome.version() + " is in force",
                OperatorResponse.newObject().put("outcome", "refused").put("version", outcome.version()));
    }
}
