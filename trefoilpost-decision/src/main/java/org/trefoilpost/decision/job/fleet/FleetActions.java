package org.trefoilpost.decision.job.fleet;

import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * Carries out what a {@link FleetPlanner} decides. No method waits; results come back as events.
 */
public interface FleetActions {
    /**
     * Asks for the list of machines.
     */
    void listMachines();

    /**
     * Tells the owner of a pool what was decided, and asks for the pool's load.
     *
     * @param pool  the pool, not null
     * @param instructions  what was decided, not null
     */
    void instruct(String pool, PoolInstructions instructions);

    /**
     * Begins the upkeep of a machine.
     *
     * @param machine  the machine, not null
     * @param wave  the wave that asks for it
     */
    void beginUpkeep(String machine, long wave);

    /**
     * Moves a machine to another pool.
     *
     * @param machine  the machine, not null
     * @param pool  the pool, not null
     */
    void move(String machine, String pool);

    /**
     * Stores how far a wave is.
     *
     * @param wave  the wave
     * @param state  the state, not null
     * @param revision  the revision of the stored state, 0 if there is none
     * @param completed  true if the wave has ended
     */
    void storeWave(long wave, String state, long revision, boolean completed);

    /**
     * Is told that another entry gives orders.
     *
     * @param machine  the machine whose order was refused, not null
     */
    void ownershipLost(String machine);

    /**
     * Is told of a decision for the log.
     *
     * @param decision  the decision, not null
     */
    void logDecision(Decision decision);
}
