package org.trefoilpost.entry.job;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's service for the machines that workers run on.
 */
public interface MachinePort {
    /**
     * Lists all machines.
     *
     * @return the machines, not null; fails with a {@link StoreFailure}
     */
    CompletableFuture<List<Machine>> list();

    /**
     * Moves a machine to another pool. Everything that runs on it ends.
     *
     * @param machine  the machine, not null
     * @param pool  the pool, not null
     * @param holder  the entry that orders the move, not null
     * @param fencingToken  the holder's token
     * @return the outcome, not null
     */
    CompletableFuture<Outcome> move(String machine, String pool, String holder, long fencingToken);

    /**
     * Begins the upkeep of a machine. Everything that runs on it ends.
     *
     * @param machine  the machine, not null
     * @param wave  the wave that asks for the upkeep
     * @param holder  the entry that orders the upkeep, not null
     * @param fencingToken  the holder's token
     * @return the outcome, not null
     */
    CompletableFuture<Outcome> beginUpkeep(String machine, long wave, String holder, long fencingToken);

    /**
     * A machine.
     *
     * @param name  the machine's name, not null
     * @param pool  the pool that the machine belongs to, not null
     * @param state  what the machine does, not null
     * @param worker  the identifier of the worker on it, without text if there is none, not null
     * @param cpuMillis  the machine's size in thousandths of a core
     */
    record Machine(String name, String pool, State state, String worker, long cpuMillis) {}

    /**
     * What a machine does.
     */
    enum State {
        /** The machine runs a worker. */
        UP,
        /** The machine is on its way to another pool. */
        MOVING,
        /** The machine is being maintained. */
        UPKEEP,
        /** The machine is down or in a state that is not known here. */
        DOWN
    }

    /**
     * The outcome of an order.
     */
    enum Outcome {
        /** The order is carried out, or was before. */
        DONE,
        /** Another holder has used a higher token. */
        FENCED,
        /** The machine is not up, or is leaving. */
        BUSY,
        /** The order does not fit the machine. */
        REJECTED,
        /** The service refused the call and did nothing. */
        REFUSED,
        /** No answer came; the order may have been carried out. */
        UNKNOWN
    }
}
