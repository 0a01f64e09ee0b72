package org.trefoilpost.entry.job;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * The platform's service that manages the machines on which workers run.
 */
public interface MachinePort {
    /**
     * Lists all machines.
     *
     * @return the machines, each once, not null; fails with a {@link StoreFailure} if the service refuses the call, or
     *     with another exception if it does not answer or its answer cannot be read completely
     */
    CompletableFuture<List<Machine>> list();

    /**
     * Moves a machine to another pool. Everything that runs on it is ended.
     *
     * @param machine  the name of the machine, not null
     * @param pool  the name of the destination pool, not null
     * @param authority  the authority of the entry that orders the move, not null
     * @return the outcome, not null
     */
    CompletableFuture<Outcome> move(String machine, String pool, Authority authority);

    /**
     * Begins the upkeep of a machine. Everything that runs on it is ended.
     *
     * @param machine  the name of the machine, not null
     * @param wave  the number of the wave that requests the upkeep
     * @param authority  the authority of the entry that orders the upkeep, not null
     * @return the outcome, not null
     */
    CompletableFuture<Outcome> beginUpkeep(String machine, long wave, Authority authority);

    /**
     * The authority with which an entry sends an order.
     *
     * @param holder  the name of the entry, not null
     * @param fencingToken  the fencing token of the entry's claim
     * @param valid  tells whether the order may still be sent; asked on any thread when a connection is ready, not null
     */
    record Authority(String holder, long fencingToken, BooleanSupplier valid) {}

    /**
     * A machine.
     *
     * @param name  the machine's name, not null
     * @param pool  the pool that the machine belongs to, not null
     * @param state  the machine's state, not null
     * @param worker  the identifier of the worker that runs on the machine, empty if there is none, not null
     * @param cpuMillis  the machine's processor capacity, in thousandths of a core
     */
    record Machine(String name, String pool, State state, String worker, long cpuMillis) {}

    /**
     * The state of a machine.
     */
    enum State {
        /** The machine runs a worker. */
        UP,
        /** The machine is moving to another pool. */
        MOVING,
        /** The machine is being maintained. */
        UPKEEP,
        /** The machine is down, so that nothing runs on it. */
        DOWN,
        /** The machine is in a state that this version does not know. */
        UNKNOWN
    }

    /**
     * The outcome of an order.
     */
    enum Outcome {
        /** The order has been carried out, now or by an earlier call. */
        DONE,
        /** Another holder has used a higher fencing token. */
        FENCED,
        /** The machine is not up, or is leaving. */
        BUSY,
        /** The order is not valid: there is no such machine, or it does not belong to the wave or cannot join the pool. */
        REJECTED,
        /**
         * The service refused the call for another or an unknown reason, or the authority was no longer valid; the order
         * was not carried out, and nothing is known of the machine.
         */
        REFUSED,
        /** The service did not answer; the order may have been carried out. */
        UNKNOWN
    }
}
