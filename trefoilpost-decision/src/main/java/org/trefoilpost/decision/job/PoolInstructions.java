package org.trefoilpost.decision.job;

import java.util.Set;

/**
 * Instructions from the owner of the machines to the owner of a pool.
 *
 * @param evacuating  the identifiers of the workers to evacuate, which get no new work, may be empty, not null
 * @param arrivingMachines  the number of machines that are arriving in the pool
 */
public record PoolInstructions(Set<String> evacuating, int arrivingMachines) {
    /** No instructions. */
    public static final PoolInstructions NONE = new PoolInstructions(Set.of(), 0);

    /**
     * Constructs instructions with a copy of the set.
     */
    public PoolInstructions {
        evacuating = Set.copyOf(evacuating);
    }
}
