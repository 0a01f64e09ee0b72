package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

/**
 * Maintains one rack after another, in each batch as many of its workers as the budgets allow, without loans.
 */
public final class RackAtATimeStrategy implements WaveStrategy {
    /**
     * Constructs the strategy.
     */
    public RackAtATimeStrategy() {}

    @Override
    public String name() {
        return "rack at a time";
    }

    @Override
    public WaveDraft draft(FleetSnapshot snapshot, Set<PoolName> pools) {
        FleetDraft draft = new FleetDraft(snapshot, pools);
        Map<RackName, List<DraftMember>> racks = new TreeMap<>();
        for (DraftPool pool : draft.pools()) {
            for (DraftMember member : pool.members()) {
                racks.computeIfAbsent(member.rack(), rack -> new ArrayList<>()).add(member);
            }
        }
        racks.values().forEach(remaining -> maintain(draft, remaining));
        return WaveDraft.of(draft);
    }

    private static void maintain(FleetDraft draft, List<DraftMember> remaining) {
        boolean progress = true;
        while (progress) {
            progress = remaining.removeIf(member -> draft.tryStop(StepKind.MAINTAIN, member));
            draft.endBatch();
        }
    }
}
