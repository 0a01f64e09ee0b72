package org.trefoilpost.decision.wave;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanCodec;

/**
 * Writes and reads plans with the states of their steps as JSON.
 */
public final class WaveStateCodec {
    private WaveStateCodec() {}

    /**
     * Writes a plan's state.
     *
     * @param state  the state, not null
     * @return the document, not null
     */
    public static byte[] encode(WaveState state) {
        return JsonFields.write(tree(state));
    }

    /**
     * Writes a plan's state as a JSON tree.
     *
     * @param state  the state, not null
     * @return the tree, not null
     */
    public static ObjectNode tree(WaveState state) {
        ObjectNode document = JsonFields.newDocument(WaveState.FORMAT)
                .put("digest", state.plan().digest().text())
                .put("version", state.version())
                .put("operator", state.operator())
                .put("confirmed", state.confirmedMillis())
                .put("cancelled", state.cancelled());
        ArrayNode steps = document.putArray("steps");
        state.steps().forEach((number, step) -> {
            ObjectNode entry = steps.addObject()
                    .put("number", number)
                    .put("phase", step.phase().code())
                    .put("since", step.sinceMillis())
                    .put("attempt", step.attempt());
            if (step.incarnation() != 0) {
                entry.put("incarnation", step.incarnation());
            }
            if (step.rackVersion() != 0) {
                entry.put("rackVersion", step.rackVersion());
            }
            if (step.cause() != StepCause.NONE) {
                entry.put("cause", step.cause().code());
            }
        });
        document.set("plan", PlanCodec.tree(state.plan()));
        return document;
    }

    /**
     * Reads a plan's state and checks the plan's digest.
     *
     * @param bytes  the document, not null
     * @return the state, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static WaveState decode(byte[] bytes) {
        JsonFields fields = JsonFields.parse("plan state", bytes, WaveState.FORMAT);
        Plan plan = PlanCodec.plan(fields.child("plan"));
        if (!plan.digest().text().equals(fields.text("digest"))) {
            throw fields.damaged("digest", "isn't the digest of the plan");
        }
        WaveState fresh = WaveState.of(plan, fields.text("operator"), fields.number("confirmed"));
        SortedMap<Integer, PlanStepState> steps = new TreeMap<>();
        for (JsonFields step : fields.children("steps")) {
            steps.put(step.integer("number"), decodeStep(step));
        }
        if (!steps.keySet().equals(fresh.steps().keySet())) {
            throw fields.damaged("steps", "aren't the steps of the plan");
        }
        return fresh.decoded(fields.required("cancelled").asBoolean(), steps, fields.number("version"));
    }

    private static PlanStepState decodeStep(JsonFields fields) {
        return PlanStepState.decoded(
                StepPhase.ofCode(fields.text("phase")).orElseThrow(() -> fields.damaged("phase", "is not known")),
                fields.number("since"),
                fields.integer("attempt"),
                fields.has("incarnation") ? fields.number("incarnation") : 0,
                fields.has("rackVersion") ? fields.number("rackVersion") : 0,
                fields.optionalValue("cause", text -> text)
                        .map(code -> StepCause.ofCode(code).orElseThrow(() -> fields.damaged("cause", "is not known")))
                        .orElse(StepCause.NONE));
    }
}
