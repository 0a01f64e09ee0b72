package org.trefoilpost.decision.job.fleet;

import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * Carries out the decisions of a {@link FleetPlanner}. No method blocks; results are passed to the planner as events.
 */
public interface FleetActions {
    /**
     * Requests the list of machines.
     */
    void listMachines();

    /**
     * Sends instructions to the owner of a pool, which answers with the pool's demand.
     *
     * @param pool  the name of the pool, not null
     * @param instructions  the workers to evacuate and the number of arriving machines, not null
     */
    void instruct(String pool, PoolInstructions instructions);

    /**
     * Orders the upkeep of a machine.
     *
     * @param machine  the name of the machine, not null
     * @param wave  the number of the wave that the machine belongs to
     */
    void beginUpkeep(String machine, long wave);

    /**
     * Orders the move of a machine to another pool.
     *
     * @param machine  the name of the machine, not null
     * @param pool  the name of the target pool, not null
     */
    void move(String machine, String pool);

    /**
     * Stores the progress of a wave.
     *
     * @param wave  the number of the wave
     * @param state  the encoded progress, not null
     * @param revision  the revision of the stored state, 0 if there is none
     * @param completed  true if all machines of the wave are done
     */
    void storeWave(long wave, String state, long revision, boolean completed);

    /**
     * Handles that another entry has taken over the ownership of the machines.
     *
     * @param machine  the name of the machine whose order was refused as fenced, not null
     */
    void ownershipLost(String machine);

    /**
     * Logs a decision.
     *
     * @param decision  the decision, not null
     */
    void logDecision(Decision decision);
}
