package org.trefoilpost.decision.job.fleet;

import java.util.OptionalLong;

/**
 * An order for a machine that was sent and is not answered.
 *
 * @param wave  the number of the wave whose upkeep is ordered, empty if a move is ordered, not null
 */
record MachineOrder(OptionalLong wave) {
    private static final MachineOrder MOVE = new MachineOrder(OptionalLong.empty());

    /**
     * Obtains an order to move a machine to another pool.
     */
    static MachineOrder move() {
        return MOVE;
    }

    /**
     * Obtains an order for the upkeep of a machine.
     *
     * @param wave  the number of the wave that requests it
     */
    static MachineOrder upkeep(long wave) {
        return new MachineOrder(OptionalLong.of(wave));
    }
}
