package org.trefoilpost.decision.plan;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * Writes and reads intents as the JSON that operators send.
 */
public final class IntentCodec {
    /** The most workers that one intent may grow or shrink a pool by. */
    public static final int MAX_RESIZE_WORKERS = 10_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private IntentCodec() {}

    /**
     * Reads an intent.
     *
     * @param body  the JSON in UTF-8, not null
     * @return the intent, not null
     * @throws IntentException if the body is not a valid intent
     */
    public static Intent parse(byte[] body) {
        try {
            return parse(MAPPER.readTree(body));
        } catch (JsonProcessingException e) {
            throw new IntentException(IntentFault.NOT_JSON, "", "the intent is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new IntentException(IntentFault.NOT_JSON, "", "the intent is not JSON: " + e.getMessage());
        }
    }

    /**
     * Reads an intent.
     *
     * @param node  the JSON object, not null
     * @return the intent, not null
     * @throws IntentException if the node is not a valid intent
     */
    public static Intent parse(JsonNode node) {
        if (node == null || !node.isObject()) {
            throw new IntentException(IntentFault.NOT_JSON, "", "the intent must be a JSON object");
        }
        String kind = requiredText(node, "kind");
        switch (kind) {
            case "drain":
                return drain(node);
            case "grow":
            case "shrink":
                return resize(node, kind.equals("grow"));
            case "move":
                requireOnlyFields(node, "worker", "pool");
                return MoveIntent.of(value(node, "worker", WorkerId::of), value(node, "pool", PoolName::of));
            case "wave":
                requireOnlyFields(node, "pool");
                return WaveIntent.of(
                        node.has("pool") ? Optional.of(value(node, "pool", PoolName::of)) : Optional.empty());
            case "release":
                requireOnlyFields(node, "worker");
                return ReleaseIntent.of(value(node, "worker", WorkerId::of));
            case "cancel":
                requireOnlyFields(node, "plan");
                return CancelIntent.of(value(node, "plan", PlanDigest::parse));
            default:
                throw new IntentException(IntentFault.UNKNOWN_KIND, "kind", "no intent has the kind '" + kind + "'");
        }
    }

    /**
     * Writes an intent.
     *
     * @param intent  the intent, not null
     * @return the JSON object, not null
     */
    public static ObjectNode encode(Intent intent) {
        ObjectNode node = JsonFields.newObject().put("kind", intent.kind());
        if (intent instanceof DrainIntent drain) {
            node.put(drain.scope().field(), drain.name());
        } else if (intent instanceof ResizeIntent resize) {
            node.put("pool", resize.pool().text()).put("by", resize.workerCount());
        } else if (intent instanceof MoveIntent move) {
            node.put("worker", move.worker().text()).put("pool", move.pool().text());
        } else if (intent instanceof WaveIntent wave) {
            wave.pool().ifPresent(pool -> node.put("pool", pool.text()));
        } else if (intent instanceof ReleaseIntent release) {
            node.put("worker", release.worker().text());
        } else if (intent instanceof CancelIntent cancel) {
            node.put("plan", cancel.plan().text());
        }
        return node;
    }

    private static Intent drain(JsonNode node) {
        Optional<DrainScope> found = Optional.empty();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            Optional<DrainScope> scope = DrainScope.ofField(name);
            if (!name.equals("kind") && (scope.isEmpty() || found.isPresent())) {
                throw unexpectedField(name);
            }
            found = scope.isPresent() ? scope : found;
        }
        DrainScope scope = found.orElseThrow(() -> new IntentException(
                IntentFault.MISSING_FIELD, "worker", "a drain needs 'worker', 'rack' or 'dataCentre'"));
        return DrainIntent.of(scope, value(node, scope.field(), WorkerId::of).text());
    }

    private static Intent resize(JsonNode node, boolean grow) {
        requireOnlyFields(node, "pool", "by");
        PoolName pool = value(node, "pool", PoolName::of);
        JsonNode by = requiredField(node, "by");
        if (!by.isIntegralNumber()
                || !by.canConvertToInt()
                || by.intValue() < 1
                || by.intValue() > MAX_RESIZE_WORKERS) {
            throw new IntentException(
                    IntentFault.INVALID_VALUE, "by", "'by' must be a whole number from 1 to " + MAX_RESIZE_WORKERS);
        }
        return ResizeIntent.of(grow, pool, by.intValue());
    }

    private static void requireOnlyFields(JsonNode node, String... allowed) {
        node.fieldNames().forEachRemaining(name -> {
            if (!name.equals("kind") && !List.of(allowed).contains(name)) {
                throw unexpectedField(name);
            }
        });
    }

    private static IntentException unexpectedField(String field) {
        return new IntentException(IntentFault.UNEXPECTED_FIELD, field, "'" + field + "' is not expected here");
    }

    private static JsonNode requiredField(JsonNode node, String field) {
        if (!node.hasNonNull(field)) {
            throw new IntentException(IntentFault.MISSING_FIELD, field, "'" + field + "' is missing");
        }
        return node.get(field);
    }

    private static String requiredText(JsonNode node, String field) {
        JsonNode value = requiredField(node, field);
        if (!value.isTextual()) {
            throw new IntentException(IntentFault.INVALID_VALUE, field, "'" + field + "' must be a text");
        }
        return value.textValue();
    }

    private static <T> T value(JsonNode node, String field, Function<String, T> factory) {
        try {
            return factory.apply(requiredText(node, field));
        } catch (IllegalArgumentException e) {
            throw new IntentException(IntentFault.INVALID_VALUE, field, "'" + field + "': " + e.getMessage());
        }
    }
}
