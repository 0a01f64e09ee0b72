package org.trefoilpost.decision.planner;

import java.util.Set;
import org.trefoilpost.model.PoolName;

/**
 * A way to maintain all workers of some pools once.
 */
public interface WaveStrategy {
    /**
     * Returns the name of the strategy, for reports.
     *
     * @return the name, not null
     */
    String name();

    /**
     * Drafts a wave. Every draft keeps all budgets; workers that can't be maintained are left out.
     *
     * @param snapshot  what the plan is computed from, not null
     * @param pools  the pools whose workers are maintained, not null
     * @return the draft, not null
     */
    WaveDraft draft(FleetSnapshot snapshot, Set<PoolName> pools);
}
