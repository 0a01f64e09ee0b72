package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * Maintains in each batch as many workers as the budgets allow, pool by pool in the order of names, without loans.
 */
public final class GreedyStrategy implements WaveStrategy {
    /**
     * Constructs the strategy.
     */
    public GreedyStrategy() {}

    @Override
    public String name() {
        return "greedy without loans";
    }

    @Override
    public WaveDraft draft(FleetSnapshot snapshot, Set<PoolName> pools) {
        FleetDraft draft = new FleetDraft(snapshot, pools);
        List<DraftMember> remaining = new ArrayList<>();
        draft.pools().forEach(pool -> remaining.addAll(pool.members()));
        boolean progress = true;
        while (progress) {
            progress = remaining.removeIf(member -> draft.tryStop(StepKind.MAINTAIN, member));
            draft.endBatch();
        }
        return WaveDraft.of(draft);
    }
}
