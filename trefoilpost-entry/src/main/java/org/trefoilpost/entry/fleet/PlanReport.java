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
 * Reports a plan to operators, as JSON.
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
     * Explains a plan: its expected cost, why each batch can run concurrently, what was refused, and the outcome of
     * each step.
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
        wave.ifPresent(planState ->
                plan.steps().forEach(step -> why.add(describeOutcome(step, planState.state(step)))));
        ArrayNode eventList = report.putArray("events");
        events.forEach(event -> eventList.add(EventCodec.toJson(event)));
        return report;
    }

    private static String describeMeasures(PlanMeasures measures, PlanMeasures lowerBounds) {
        return "expected: buffer cost " + measures.bufferCost() + " idle instance-minutes (at least "
                + lowerBounds.bufferCost() + "), roll-out " + measures.rollOutTime() + " minutes (at least "
                + lowerBounds.rollOutTime() + "), moves " + measures.moves() + " (at least " + lowerBounds.moves()
                + ")";
    }

    private static String describeBatch(int number, PlanBatch batch) {
        String workers = batch.steps().stream()
                .map(step -> step.kind().code() + " " + step.worker())
                .collect(Collectors.joining(", "));
        String headroom = batch.headroom().entrySet().stream()
                .map(pool -> pool.getKey() + " " + pool.getValue())
                .collect(Collectors.joining(", "));
        return "batch " + number + ": " + workers + " concurrently; the budgets then have headroom " + headroom;
    }

    private static String describeOutcome(PlanStep step, PlanStepState stepState) {
        String cause = stepState.cause().code();
        return "step " + step.number() + ", " + step.kind().code() + " " + step.worker() + ": "
                + stepState.phase().code() + (cause.equals("none") ? "" : " because of " + cause) + " after "
                + stepState.attempt() + " attempts";
    }

    /**
     * Reports a confirmed plan.
     *
     * @param wave  the plan's state, not null
     * @param revision  the revision of its document in the key-value store
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
     * @return {@code running}, {@code done}, {@code cancelling} or {@code cancelled}, not null
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
        Optional.ofNullable(headroom.get(step.pool())).ifPresent(remaining -> node.put("headroom", remaining));
        PlanStepState stepState = wave.map(planState -> planState.state(step)).orElse(PlanStepState.PENDING);
        node.put("state", stepState.phase().code());
        if (stepState.phase() != StepPhase.PENDING) {
            node.put("sinceMillis", stepState.sinceMillis()).put("attempt", stepState.attempt());
        }
        return node.put("reason", stepState.cause().code());
    }
}
