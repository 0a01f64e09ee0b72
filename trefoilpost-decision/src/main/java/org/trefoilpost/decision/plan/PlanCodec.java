package org.trefoilpost.decision.plan;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;

/**
 * Writes and reads plans as canonical JSON: the same plan always gives the same bytes.
 */
public final class PlanCodec {
    private PlanCodec() {}

    /**
     * Writes a plan.
     *
     * @param plan  the plan, not null
     * @return the canonical JSON, not null
     */
    public static byte[] encode(Plan plan) {
        return JsonFields.write(tree(plan));
    }

    /**
     * Writes a plan as a JSON tree, without its digest.
     *
     * @param plan  the plan, not null
     * @return the tree, not null
     */
    public static ObjectNode tree(Plan plan) {
        ObjectNode document = JsonFields.newDocument(Plan.FORMAT);
        document.set("intent", IntentCodec.encode(plan.intent()));
        document.put("created", plan.createdMillis());
        document.set("versions", versions(plan.versions()));
        ArrayNode batches = document.putArray("batches");
        plan.batches().forEach(batch -> batches.add(batch(batch)));
        document.set("measures", measures(plan.measures()));
        document.set("lowerBounds", measures(plan.lowerBounds()));
        ArrayNode refusals = document.putArray("refusals");
        for (PlanRefusal refusal : plan.refusals()) {
            refusals.addObject()
                    .put("subject", refusal.subject())
                    .put("reason", refusal.reason().code())
                    .put("detail", refusal.detail());
        }
        return document;
    }

    /**
     * Reads a plan.
     *
     * @param bytes  the document, not null
     * @return the plan, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static Plan decode(byte[] bytes) {
        return plan(JsonFields.parse("plan", bytes, Plan.FORMAT));
    }

    /**
     * Reads a plan from its fields.
     *
     * @param fields  the fields, not null
     * @return the plan, not null
     * @throws DocumentException if the plan is damaged
     */
    public static Plan plan(JsonFields fields) {
        List<PlanBatch> batches = new ArrayList<>();
        fields.children("batches").forEach(batch -> batches.add(batch(batch)));
        List<PlanRefusal> refusals = new ArrayList<>();
        for (JsonFields refusal : fields.children("refusals")) {
            refusals.add(PlanRefusal.of(
                    refusal.text("subject"),
                    requiredCode(refusal, "reason", PlanRefusalReason::ofCode),
                    refusal.text("detail")));
        }
        return Plan.builder(intent(fields), versions(fields.child("versions")), fields.number("created"))
                .batches(batches)
                .measures(measures(fields.child("measures")), measures(fields.child("lowerBounds")))
                .refusals(refusals)
                .build();
    }

    private static Intent intent(JsonFields fields) {
        try {
            return IntentCodec.parse(fields.required("intent"));
        } catch (IntentException e) {
            throw fields.damaged("intent", e.getMessage());
        }
    }

    private static ObjectNode versions(PlanVersions versions) {
        ObjectNode node = JsonFields.newObject()
                .put("configuration", versions.configuration())
                .put("index", versions.index());
        ObjectNode racks = node.putObject("racks");
        versions.racks().forEach((rack, version) -> racks.put(rack.text(), version));
        ObjectNode ledgers = node.putObject("ledgers");
        versions.ledgers().forEach((pool, version) -> ledgers.put(pool.text(), version));
        return node;
    }

    private static PlanVersions versions(JsonFields fields) {
        return PlanVersions.of(
                fields.number("configuration"),
                fields.number("index"),
                numbersByKey(fields.child("racks"), RackName::of),
                numbersByKey(fields.child("ledgers"), PoolName::of));
    }

    private static <K> Map<K, Long> numbersByKey(JsonFields fields, Function<String, K> factory) {
        Map<K, Long> numbers = new TreeMap<>();
        for (String name : fields.names()) {
            try {
                numbers.put(factory.apply(name), fields.number(name));
            } catch (IllegalArgumentException e) {
                throw fields.damaged(name, e.getMessage());
            }
        }
        return numbers;
    }

    private static ObjectNode batch(PlanBatch batch) {
        ObjectNode node = JsonFields.newObject();
        ArrayNode steps = node.putArray("steps");
        for (PlanStep step : batch.steps()) {
            ObjectNode entry = steps.addObject()
                    .put("number", step.number())
                    .put("kind", step.kind().code())
                    .put("worker", step.worker().text())
                    .put("pool", step.pool().text());
            step.target().ifPresent(pool -> entry.put("target", pool.text()));
        }
        ObjectNode headroom = node.putObject("headroom");
        batch.headroom().forEach((pool, value) -> headroom.put(pool.text(), value));
        return node;
    }

    private static PlanBatch batch(JsonFields fields) {
        List<PlanStep> steps = new ArrayList<>();
        fields.children("steps").forEach(step -> steps.add(step(step)));
        SortedMap<PoolName, Integer> headroom = new TreeMap<>();
        numbersByKey(fields.child("headroom"), PoolName::of)
                .forEach((pool, value) -> headroom.put(pool, value.intValue()));
        return PlanBatch.of(steps, headroom);
    }

    private static PlanStep step(JsonFields fields) {
        int number = fields.integer("number");
        StepKind kind = requiredCode(fields, "kind", StepKind::ofCode);
        WorkerId worker = fields.value("worker", WorkerId::of);
        PoolName pool = fields.value("pool", PoolName::of);
        Optional<PoolName> target = fields.optionalValue("target", PoolName::of);
        try {
            return target.isPresent()
                    ? PlanStep.shift(number, kind, worker, pool, target.get())
                    : PlanStep.of(number, kind, worker, pool);
        } catch (IllegalArgumentException e) {
            throw fields.damaged("kind", e.getMessage());
        }
    }

    private static ObjectNode measures(PlanMeasures measures) {
        return JsonFields.newObject()
                .put("bufferCost", measures.bufferCost())
                .put("rollOutTime", measures.rollOutTime())
                .put("moves", measures.moves());
    }

    private static PlanMeasures measures(JsonFields fields) {
        return PlanMeasures.of(fields.decimal("bufferCost"), fields.decimal("rollOutTime"), fields.integer("moves"));
    }

    private static <T> T requiredCode(JsonFields fields, String field, Function<String, Optional<T>> factory) {
        return factory.apply(fields.text(field)).orElseThrow(() -> fields.damaged(field, "is not known"));
    }
}
