package org.trefoilpost.decision.job.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines that lists lack, and the evidence that they have gone: a list is no snapshot, and may lack a machine that is
 * there.
 */
final class MissingMachines {
    /** Number of successive lists that lack a machine before it counts as missing. */
    private static final int MIN_LISTS = 3;
    /** Maximum time for which a move or an upkeep keeps a machine out of service, so that its orders are refused. */
    static final long MAX_OUT_OF_SERVICE_MILLIS = 4_000;

    private final Map<String, Integer> listsWithoutMachine = new HashMap<>();
    private final Map<String, Refusals> refusals = new HashMap<>();
    /** The machines on which workers are registered. */
    private Set<String> withWorkers = Set.of();

    void setMachinesWithWorkers(Set<String> machines) {
        withWorkers = Set.copyOf(machines);
    }

    /**
     * Handles that a list has a machine.
     */
    void listed(String machine) {
        listsWithoutMachine.remove(machine);
        refusals.remove(machine);
    }

    /**
     * Handles that a list lacks a machine. A machine with a registered worker is there.
     */
    void notListed(String machine) {
        if (withWorkers.contains(machine)) {
            listed(machine);
        } else {
            listsWithoutMachine.merge(machine, 1, Integer::sum);
        }
    }

    /**
     * Handles that the platform refused an order because of the state of a machine, or because it does not have it.
     */
    void refused(String machine, long nowMillis) {
        if (isMissing(machine)) {
            refusals.merge(machine, new Refusals(nowMillis, nowMillis), Refusals::followedBy);
        }
    }

    /**
     * Returns the number of successive lists that lack a machine.
     */
    int listsWithout(String machine) {
        return listsWithoutMachine.getOrDefault(machine, 0);
    }

    /**
     * Returns whether several lists lack a machine and no worker is registered on it, so that an order for it ends no work.
     */
    boolean isMissing(String machine) {
        return listsWithout(machine) >= MIN_LISTS && !withWorkers.contains(machine);
    }

    /**
     * Returns whether a machine has gone: it is missing, and its orders were refused for longer than a move or an upkeep takes
     * before the latest list was requested.
     */
    boolean hasGone(String machine, long listRequestedMillis) {
        Refusals ofMachine = refusals.get(machine);
        return isMissing(machine)
                && ofMachine != null
                && ofMachine.lastMillis() - ofMachine.firstMillis() >= MAX_OUT_OF_SERVICE_MILLIS
                && ofMachine.lastMillis() < listRequestedMillis;
    }

    /**
     * The times of the first and the last of a series of refusals, on the steady clock in milliseconds.
     */
    private record Refusals(long firstMillis, long lastMillis) {
        Refusals followedBy(Refusals later) {
            return new Refusals(firstMillis, later.lastMillis);
        }
    }
}
