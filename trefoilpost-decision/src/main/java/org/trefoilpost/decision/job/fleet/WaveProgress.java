package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.job.Moment;

/**
 * The progress of a wave of upkeep. Orders are stored before they are sent, so that an entry that takes over knows of each
 * machine that may be down.
 */
final class WaveProgress {
    private static final String SEPARATOR = ";";
    /** Planned time for emptying and maintaining a machine. */
    private static final long BUSY_MACHINE_MILLIS = 8_000;
    /** Planned time for the upkeep of an empty machine. */
    private static final long EMPTY_MACHINE_MILLIS = 3_000;
    /** Time before its deadline at which a wave is planned to end. */
    private static final long DEADLINE_MARGIN_MILLIS = 5_000;

    final long number;
    final Set<String> doneMachines = new TreeSet<>();
    final Set<String> orderedMachines = new TreeSet<>();
    final Set<String> storedOrders = new TreeSet<>();
    List<String> machines = List.of();
    int atOnce = 1;
    long revision;
    boolean storing;
    boolean dirty;
    boolean requested;
    boolean completedStored;
    /** The deadline on the wall clock, which is stored, 0 while it is not known. */
    private long deadlineWallMillis;

    private long deadlineMillis = Long.MAX_VALUE;

    WaveProgress(long number) {
        this.number = number;
    }

    /**
     * Begins or continues the wave. The stored deadline goes before a later one, as an entry that takes over may have
     * learned of the wave long after it was requested.
     */
    void request(List<String> requestedMachines, Moment deadline, int maxAtOnce, Moment now) {
        requested = true;
        machines = List.copyOf(requestedMachines);
        atOnce = Math.max(1, maxAtOnce);
        deadlineWallMillis =
                deadlineWallMillis == 0 ? deadline.wallMillis() : Math.min(deadlineWallMillis, deadline.wallMillis());
        deadlineMillis = now.steadyMillis() + deadlineWallMillis - now.wallMillis();
        dirty = !completedStored;
    }

    boolean isCompleted() {
        return requested && doneMachines.containsAll(machines);
    }

    boolean isOpen() {
        return requested && !completedStored;
    }

    /**
     * Returns the machines whose upkeep is neither done nor ordered.
     */
    List<String> waitingMachines() {
        List<String> waiting = new ArrayList<>(machines);
        waiting.removeAll(doneMachines);
        waiting.removeAll(orderedMachines);
        return waiting;
    }

    /**
     * Returns the number of machines that must be down at the same time for the wave to end before its deadline, at least
     * 1 and at most the limit of the wave.
     *
     * @param empty  the number of waiting machines for which the time of an empty machine is planned
     * @param nowMillis  the current time on the steady clock, in milliseconds
     */
    int requiredAtOnce(int empty, long nowMillis) {
        return requiredAtOnce(empty, waitingMachines().size() - empty, nowMillis);
    }

    /**
     * Returns the number of machines that must be emptied or down at the same time for some machines to be done before the
     * deadline, at least 1 and at most the limit of the wave.
     */
    int requiredAtOnce(int empty, int busy, long nowMillis) {
        long remainingMillis = Math.max(1, deadlineMillis - nowMillis - DEADLINE_MARGIN_MILLIS);
        long workMillis = busy * BUSY_MACHINE_MILLIS + empty * EMPTY_MACHINE_MILLIS;
        return (int) Math.max(1, Math.min(atOnce, (workMillis + remainingMillis - 1) / remainingMillis));
    }

    /**
     * Returns the stored format: the machines that are done, those with an order, the deadline, and whether the wave is
     * completed.
     */
    String encodeState() {
        return String.join(",", doneMachines)
                + SEPARATOR
                + String.join(",", orderedMachines)
                + SEPARATOR
                + deadlineWallMillis
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
            completedStored = Boolean.parseBoolean(parts[parts.length - 1]);
        }
        if (parts.length > 3) {
            deadlineWallMillis = Long.parseLong(parts[2]);
        }
    }

    void stateStored(String state, long newRevision) {
        storing = false;
        revision = newRevision;
        WaveProgress storedProgress = new WaveProgress(number);
        storedProgress.loadState(state, newRevision);
        storedOrders.clear();
        storedOrders.addAll(storedProgress.orderedMachines);
        completedStored = storedProgress.completedStored;
    }

    private static void addAll(Set<String> set, String names) {
        for (String name : names.split(",")) {
            if (!name.isEmpty()) {
                set.add(name);
            }
        }
    }
}
