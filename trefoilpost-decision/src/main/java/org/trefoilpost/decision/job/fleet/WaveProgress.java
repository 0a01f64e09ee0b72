package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * How far a wave of upkeep is. Orders are stored before they are given, so that another entry knows of each machine that
 * may be down.
 */
final class WaveProgress {
    private static final String SEPARATOR = ";";
    /** Time in milliseconds that a machine takes to be emptied and maintained, as it is planned for. */
    private static final long BUSY_MACHINE_MILLIS = 8_000;
    /** Time in milliseconds that the upkeep of an empty machine takes, as it is planned for. */
    private static final long EMPTY_MACHINE_MILLIS = 3_000;
    /** Time in milliseconds that a wave is to end before its deadline. */
    private static final long DEADLINE_MARGIN_MILLIS = 5_000;

    final long number;
    final Set<String> doneMachines = new TreeSet<>();
    final Set<String> orderedMachines = new TreeSet<>();
    final Set<String> storedOrders = new TreeSet<>();
    List<String> machines = List.of();
    int atOnce = 1;
    long deadlineMillis = Long.MAX_VALUE;
    long revision;
    boolean storing;
    boolean dirty;
    boolean requested;
    boolean completedStored;

    WaveProgress(long number) {
        this.number = number;
    }

    boolean isCompleted() {
        return requested && doneMachines.containsAll(machines);
    }

    boolean isOpen() {
        return requested && !completedStored;
    }

    /**
     * Returns the machines that are neither maintained nor ordered to be.
     */
    List<String> waitingMachines() {
        List<String> waiting = new ArrayList<>(machines);
        waiting.removeAll(doneMachines);
        waiting.removeAll(orderedMachines);
        return waiting;
    }

    /**
     * Returns how many machines have to be away at the same time for the wave to end in time, at most as many as may be.
     *
     * @param empty  how many of the waiting machines are known to be ready at once
     * @param nowMillis  the present time on the steady clock
     */
    int requiredAtOnce(int empty, long nowMillis) {
        long left = Math.max(1, deadlineMillis - nowMillis - DEADLINE_MARGIN_MILLIS);
        long work = (waitingMachines().size() - empty) * BUSY_MACHINE_MILLIS + empty * EMPTY_MACHINE_MILLIS;
        return (int) Math.max(1, Math.min(atOnce, (work + left - 1) / left));
    }

    String encodeState() {
        return String.join(",", doneMachines)
                + SEPARATOR
                + String.join(",", orderedMachines)
                + SEPARATOR
                + isCompleted();
    }

    void loadState(String state, long storedRevision) {
        revision = storedRevision;
        String[] parts = state.split(SEPARATOR, -1);
        addAll(doneMachines, parts[0]);
        if (parts.length > 2) {
            addAll(orderedMachines, parts[1]);
            storedOrders.addAll(orderedMachines);
            completedStored = Boolean.parseBoolean(parts[2]);
        }
    }

    void stateStored(String state, long newRevision) {
        storing = false;
        revision = newRevision;
        WaveProgress copy = new WaveProgress(number);
        copy.loadState(state, newRevision);
        storedOrders.clear();
        storedOrders.addAll(copy.orderedMachines);
        completedStored = copy.completedStored;
    }

    private static void addAll(Set<String> set, String names) {
        for (String name : names.split(",")) {
            if (!name.isEmpty()) {
                set.add(name);
            }
        }
    }
}
