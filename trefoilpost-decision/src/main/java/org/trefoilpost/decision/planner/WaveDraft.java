package org.trefoilpost.decision.planner;

import java.util.List;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.plan.StepKind;

/**
 * The batches that a strategy proposes for a wave, and their expected cost.
 */
public final class WaveDraft {
    private final List<PlanBatch> batches;
    private final PlanMeasures measures;

    private WaveDraft(List<PlanBatch> batches, PlanMeasures measures) {
        this.batches = List.copyOf(batches);
        this.measures = measures;
    }

    static WaveDraft of(FleetDraft draft) {
        draft.endBatch();
        return new WaveDraft(draft.batches(), draft.measures());
    }

    /**
     * Returns the batches in the order in which they run.
     *
     * @return the batches, unmodifiable, not null
     */
    public List<PlanBatch> batches() {
        return batches;
    }

    /**
     * Returns the expected cost.
     *
     * @return the measures, not null
     */
    public PlanMeasures measures() {
        return measures;
    }

    /**
     * Returns how many workers the wave maintains.
     *
     * @return the count, not negative
     */
    public int maintained() {
        return (int) batches.stream()
                .flatMap(batch -> batch.steps().stream())
                .filter(step -> step.kind() == StepKind.MAINTAIN)
                .count();
    }

    /**
     * Returns the number of batches and the measures.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return batches.size() + " batches, " + measures;
    }
}
