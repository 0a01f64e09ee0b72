package org.trefoilpost.decision.planner;

import java.util.Set;
import org.trefoilpost.model.PoolName;

/**
 * A strategy that drafts a wave: the maintenance of all workers of some pools, once each.
 */
public interface WaveStrategy {
    /**
     * Returns the name of the strategy, for reports.
     *
     * @return the name, not null
     */
    String name();

    /**
     * Drafts a wave.
     *
     * <p>No draft breaks a budget; workers that can't be maintained within it are left out.
     *
     * @param snapshot  the state of the fleet, not null
     * @param pools  the pools whose workers are maintained, not null
     * @return the draft, not null, without batches if no worker can be maintained
     */
    WaveDraft draft(FleetSnapshot snapshot, Set<PoolName> pools);
}
