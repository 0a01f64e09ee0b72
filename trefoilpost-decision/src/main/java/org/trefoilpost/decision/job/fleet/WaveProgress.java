package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.trefoilpost.decision.job.Moment;

/**
 * The progress of a wave of upkeep. Orders are stored before they are sent, so that an entry that takes over knows of each
 * machine that may be down.
 */
final class WaveProgress {
    private static final String SEPARATOR = ";";
    private static final Set<String> BOOLEANS = Set.of("true", "false");
    private static final int MIN_PARTS = 3;
    private static final int MAX_PARTS = 5;
    private static final int MAX_QUOTED_LENGTH = 20;
    /** Planned time for emptying and maintaining a machine. */
    private static final long BUSY_MACHINE_MILLIS = 8_000;
    /** Planned time for the upkeep of an empty machine. */
    private static final long EMPTY_MACHINE_MILLIS = 3_000;
    /** Time before its deadline at which a wave is planned to end. */
    private static final long DEADLINE_MARGIN_MILLIS = 5_000;

    final long number;
    final Set<String> doneMachines = new TreeSet<>();
    /** The machines that the platform no longer has. */
    final Set<String> goneMachines = new TreeSet<>();

    final Set<String> orderedMachines = new TreeSet<>();
    final Set<String> storedOrders = new TreeSet<>();
    List<String> machines = List.of();
    int atOnce = 1;
    /** The time at which this entry learned of the request, on the steady clock. */
    long requestedMillis;

    long revision;
    boolean storing;
    boolean dirty;
    boolean requested;
    boolean completedStored;
    /** The deadline on the wall clock, which is stored, 0 while it is not known. */
    private long deadlineWallMillis;

    /** The deadline on the wall clock that was last requested, 0 before the first request. */
    private long requestedDeadlineWallMillis;

    private long deadlineMillis = Long.MAX_VALUE;

    WaveProgress(long number) {
        this.number = number;
    }

    /**
     * Begins or continues the wave, or changes it if it was requested before. The stored deadline goes before a later one
     * of the first request, as an entry that takes over may have learned of the wave long after it was requested.
     *
     * @return true if the request differs from the one known before
     */
    boolean request(List<String> requestedMachines, Moment newDeadline, int maxAtOnce, Moment now) {
        List<String> newMachines = List.copyOf(requestedMachines);
        int newAtOnce = Math.max(1, maxAtOnce);
        if (requested
                && newMachines.equals(machines)
                && newAtOnce == atOnce
                && newDeadline.wallMillis() == requestedDeadlineWallMillis) {
            return false;
        }
        boolean keepsStoredDeadline = requestedDeadlineWallMillis == 0 && deadlineWallMillis != 0;
        requestedDeadlineWallMillis = newDeadline.wallMillis();
        deadlineWallMillis =
                keepsStoredDeadline ? Math.min(deadlineWallMillis, newDeadline.wallMillis()) : newDeadline.wallMillis();
        deadlineMillis = now.steadyMillis() + deadlineWallMillis - now.wallMillis();
        requestedMillis = now.steadyMillis();
        requested = true;
        machines = newMachines;
        atOnce = newAtOnce;
        orderedMachines.retainAll(machines);
        goneMachines.retainAll(machines);
        dirty = isOpen();
        return true;
    }

    /**
     * Handles that operators no longer request the wave.
     */
    void withdraw() {
        requested = false;
        orderedMachines.clear();
        dirty = false;
    }

    boolean isCompleted() {
        return requested && machines.stream().allMatch(this::isDoneOrGone);
    }

    /**
     * Returns whether the wave is requested and not stored as completed. A wave that was completed is open again once it has
     * machines that are neither done nor gone.
     */
    boolean isOpen() {
        return requested && !(completedStored && isCompleted());
    }

    private boolean isDoneOrGone(String machine) {
        return doneMachines.contains(machine) || goneMachines.contains(machine);
    }

    /**
     * Returns the machines that are neither done nor gone, and whose upkeep is not ordered.
     */
    List<String> waitingMachines() {
        List<String> waiting = new ArrayList<>(machines);
        waiting.removeIf(this::isDoneOrGone);
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
     * Returns the stored format: the machines that are done, those with an order, the deadline, the machines that are gone,
     * and whether the wave is completed.
     */
    String encodeState() {
        return String.join(
                SEPARATOR,
                encodeNames(doneMachines),
                encodeNames(orderedMachines),
                Long.toString(deadlineWallMillis),
                encodeNames(goneMachines),
                Boolean.toString(isCompleted()));
    }

    /**
     * Loads the stored format, also that of earlier versions, which lack the machines that are gone, and the deadline.
     *
     * @throws IllegalArgumentException if the format is not known; nothing is loaded then
     */
    void loadState(String state, long storedRevision) {
        String[] parts = state.split(SEPARATOR, -1);
        String completed = parts[parts.length - 1];
        if (parts.length < MIN_PARTS || parts.length > MAX_PARTS || !BOOLEANS.contains(completed)) {
            throw new IllegalArgumentException("stored progress of a wave has " + parts.length + " parts and ends with "
                    + completed.substring(0, Math.min(completed.length(), MAX_QUOTED_LENGTH)));
        }
        long storedDeadline = parts.length > MIN_PARTS ? Long.parseLong(parts[2]) : 0;
        revision = storedRevision;
        deadlineWallMillis = storedDeadline;
        doneMachines.addAll(decodeNames(parts[0]));
        orderedMachines.addAll(decodeNames(parts[1]));
        storedOrders.addAll(orderedMachines);
        if (parts.length == MAX_PARTS) {
            goneMachines.addAll(decodeNames(parts[3]));
        }
        completedStored = Boolean.parseBoolean(completed);
    }

    void stateStored(String state, long newRevision) {
        storing = false;
        WaveProgress storedProgress = new WaveProgress(number);
        storedProgress.loadState(state, newRevision);
        revision = newRevision;
        storedOrders.clear();
        storedOrders.addAll(storedProgress.orderedMachines);
        completedStored = storedProgress.completedStored;
    }

    private static String encodeNames(Collection<String> names) {
        return names.stream()
                .map(name -> name.replace("%", "%25").replace(",", "%2C").replace(SEPARATOR, "%3B"))
                .collect(Collectors.joining(","));
    }

    private static List<String> decodeNames(String names) {
        return Arrays.stream(names.split(","))
                .filter(name -> !name.isEmpty())
                .map(name -> name.replace("%3B", SEPARATOR).replace("%2C", ",").replace("%25", "%"))
                .toList();
    }
}
