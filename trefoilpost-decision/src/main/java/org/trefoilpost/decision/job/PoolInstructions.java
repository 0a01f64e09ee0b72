package org.trefoilpost.decision.job;

import java.util.Set;

/**
 * What the owner of the machines tells the owner of a pool.
 *
 * @param keptFree  the workers that are to be emptied and get no work, not null
 * @param arriving  how many machines are on their way to the pool
 */
public record PoolInstructions(Set<String> evacuating, int arrivingMachines) {
    /** No instructions. */
    public static final PoolInstructions NONE = new PoolInstructions(Set.of(), 0);

    /**
     * Constructs instructions.
     */
    public PoolInstructions {
        evacuating = Set.copyOf(evacuating);
    }
}
