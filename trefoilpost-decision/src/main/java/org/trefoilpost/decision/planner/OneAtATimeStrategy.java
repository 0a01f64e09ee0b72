package org.trefoilpost.decision.planner;

import java.util.Set;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * Maintains one worker at a time across all pools, without loans.
 */
public final class OneAtATimeStrategy implements WaveStrategy {
    /**
     * Constructs the strategy.
     */
    public OneAtATimeStrategy() {}

    @Override
    public String name() {
        return "one at a time";
    }

    @Override
    public WaveDraft draft(FleetSnapshot snapshot, Set<PoolName> pools) {
        FleetDraft draft = new FleetDraft(snapshot, pools);
        for (DraftPool pool : draft.pools()) {
            for (DraftMember member : pool.members()) {
                draft.tryStop(StepKind.MAINTAIN, member);
                draft.endBatch();
            }
        }
        return WaveDraft.of(draft);
    }
}
