package org.trefoilpost.entry.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.trefoilpost.decision.event.EventCodec;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanCodec;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.wave.PlanStepState;
import org.trefoilpost.decision.wave.StepPhase;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.model.PoolName;

/**
 * What operators are shown of a plan, as JSON.
 */
final class PlanReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlanReport() {}

    /**
     * Reports a plan that is not confirmed.
     *
     * @param plan  the plan, not null
     * @return the report, not null
     */
    static ObjectNode proposed(Plan plan) {
        return commonFields(plan, "proposed", 0, Optional.empty());
    }

    /**
     * Explains a plan: why its steps are as they are, and what was done and why not.
     *
     * @param plan  the plan, not null
     * @param wave  the plan's state, empty if it is not confirmed, not null
     * @param events  the events of the plan, not null
     * @return the report, not null
     */
    static ObjectNode explained(Plan plan, Optional<WaveState> wave, List<FleetEvent> events) {
        ObjectNode report = MAPPER.createObjectNode()
                .put("digest", plan.digest().text())
                .put("state", wave.map(PlanReport::state).orElse("proposed"));
        ArrayNode why = report.putArray("why");
        why.add(describeMeasures(plan.measures(), plan.lowerBounds()));
        int number = 0;
        for (PlanBatch batch : plan.batches()) {
            number++;
            why.add(describeBatch(number, batch));
        }
        plan.refusals()
                .forEach(refusal -> why.add("not done: " + refusal.subject() + ", "
                        + refusal.reason().code() + ": " + refusal.detail()));
        wave.ifPresent(present -> plan.steps().forEach(step -> why.add(describeOutcome(step, present.state(step)))));
        ArrayNode happened = report.putArray("events");
        events.forEach(event -> happened.add(EventCodec.toJson(event)));
        return report;
    }

    private static String describeMeasures(PlanMeasures measures, PlanMeasures bounds) {
        return "expected: buffer cost " + measures.bufferCost() + " idle instance-minutes (at least "
                + bounds.bufferCost() + "), roll-out " + measures.rollOutTime() + " minutes (at least "
                + bounds.rollOutTime() + "), moves " + measures.moves() + " (at least " + bounds.moves() + ")";
    }

    private static String describeBatch(int number, PlanBatch batch) {
        String workers = batch.steps().stream()
                .map(step -> step.kind().code() + " " + step.worker())
                .collect(Collectors.joining(", "));
        String headroom = batch.headroom().entrySet().stream()
                .map(pool -> pool.getKey() + " " + pool.getValue())
                .collect(Collectors.joining(", "));
        return "batch " + number + ": " + workers + " together, as the budgets then have headroom " + headroom;
    }

    private static String describeOutcome(PlanStep step, PlanStepState reached) {
        String cause = reached.cause().code();
        return "step " + step.number() + ", " + step.kind().code() + " " + step.worker() + ": "
                + reached.phase().code() + (cause.equals("none") ? "" : " because of " + cause) + " after "
                + reached.attempt() + " attempts";
    }

    /**
     * Reports a confirmed plan.
     *
     * @param wave  the plan's state, not null
     * @param revision  the revision of its document
     * @return the report, not null
     */
    static ObjectNode confirmed(WaveState wave, long revision) {
        ObjectNode report = commonFields(wave.plan(), state(wave), revision, Optional.of(wave));
        return report.put("operator", wave.operator()).put("confirmedMillis", wave.confirmedMillis());
    }

    /**
     * Returns the state of a confirmed plan.
     *
     * @param wave  the plan's state, not null
     * @return the code of the state, not null
     */
    static String state(WaveState wave) {
        if (wave.ended()) {
            return wave.cancelled() ? "cancelled" : "done";
        }
        return wave.cancelled() ? "cancelling" : "running";
    }

    private static ObjectNode commonFields(Plan plan, String state, long revision, Optional<WaveState> wave) {
        ObjectNode tree = PlanCodec.tree(plan);
        ObjectNode report = MAPPER.createObjectNode()
                .put("digest", plan.digest().text())
                .put("state", state)
                .put("revision", revision);
        report.set("intent", tree.path("intent"));
        report.set("measures", measures(plan));
        ArrayNode steps = report.putArray("steps");
        int batchNumber = 0;
        for (PlanBatch batch : plan.batches()) {
            batchNumber++;
            for (PlanStep step : batch.steps()) {
                steps.add(step(step, batch, batchNumber, wave));
            }
        }
        ArrayNode refusals = report.putArray("refusals");
        plan.refusals()
                .forEach(refusal -> refusals.addObject()
                        .put("subject", refusal.subject())
                        .put("code", refusal.reason().code())
                        .put("reason", refusal.detail()));
        report.set("versions", tree.path("versions"));
        return report;
    }

    private static ObjectNode measures(Plan plan) {
        return MAPPER.createObjectNode()
                .put("bufferCostMinutes", plan.measures().bufferCost())
                .put("rollOutMinutes", plan.measures().rollOutTime())
                .put("moves", plan.measures().moves());
    }

    private static ObjectNode step(PlanStep step, PlanBatch batch, int batchNumber, Optional<WaveState> wave) {
        ObjectNode node = MAPPER.createObjectNode()
                .put("number", step.number())
                .put("batch", batchNumber)
                .put("worker", step.worker().text())
                .put("pool", step.pool().text())
                .put("act", step.kind().code());
        step.target().ifPresent(target -> node.put("target", target.text()));
        Map<PoolName, Integer> headroom = batch.headroom();
        Optional.ofNullable(headroom.get(step.pool())).ifPresent(left -> node.put("headroom", left));
        PlanStepState reached = wave.map(present -> present.state(step)).orElse(PlanStepState.PENDING);
        node.put("state", reached.phase().code());
        if (reached.phase() != StepPhase.PENDING) {
            node.put("sinceMillis", reached.sinceMillis()).put("attempt", reached.attempt());
        }
        return node.put("reason", reached.cause().code());
    }
}
