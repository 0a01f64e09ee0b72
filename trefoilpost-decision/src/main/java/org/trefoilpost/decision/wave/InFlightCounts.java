package org.trefoilpost.decision.wave;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.model.EntryId;

/**
 * The numbers of requests that the entries report to have in flight on a cordoned worker. Immutable.
 *
 * <p>A report counts only if its entry had already acknowledged the cordon of the current attempt when it counted: an
 * entry without the cordon may send more work after its report. An entry that can't be reached counts as undrained until
 * it is known to be gone.
 */
public final class InFlightCounts {
    private final int attempt;
    private final Map<EntryId, Integer> inFlightByEntry;
    private final Set<EntryId> goneEntries;

    private InFlightCounts(int attempt, Map<EntryId, Integer> inFlightByEntry, Set<EntryId> goneEntries) {
        this.attempt = attempt;
        this.inFlightByEntry = inFlightByEntry;
        this.goneEntries = goneEntries;
    }

    /**
     * Obtains counts without reports.
     *
     * @param attempt  the attempt of the step whose cordon must be acknowledged, counted from 1
     * @return the counts, not null
     */
    public static InFlightCounts of(int attempt) {
        return new InFlightCounts(attempt, Map.of(), Set.of());
    }

    /**
     * Returns a copy with an entry's report, or this instance if the entry had not acknowledged the cordon.
     *
     * @param entry  the entry, not null
     * @param acknowledgedAttempt  the latest attempt whose cordon the entry had acknowledged when it counted, 0 if none
     * @param count  the requests that the entry has in flight on the worker, not negative
     * @return the counts, not null
     */
    public InFlightCounts withReport(EntryId entry, int acknowledgedAttempt, int count) {
        Objects.requireNonNull(entry, "entry");
        if (acknowledgedAttempt < attempt) {
            return this;
        }
        Map<EntryId, Integer> copy = new HashMap<>(inFlightByEntry);
        copy.put(entry, count);
        return new InFlightCounts(attempt, copy, goneEntries);
    }

    /**
     * Returns a copy in which an entry is known to have left together with all its work in flight.
     *
     * @param entry  the entry, not null
     * @return the counts, not null
     */
    public InFlightCounts withEntryGone(EntryId entry) {
        Set<EntryId> copy = new HashSet<>(goneEntries);
        copy.add(entry);
        return new InFlightCounts(attempt, inFlightByEntry, copy);
    }

    /**
     * Returns the entries that prevent the worker from being stopped.
     *
     * @param entries  all entries that may have work on the worker, not null
     * @return the entries that have work in flight or have not reported, sorted, not null, may be empty
     */
    public Set<EntryId> undrainedEntries(Set<EntryId> entries) {
        Set<EntryId> undrained = new TreeSet<>(entries);
        undrained.removeAll(goneEntries);
        undrained.removeIf(entry -> inFlightByEntry.getOrDefault(entry, 1) == 0);
        return undrained;
    }

    /**
     * Returns whether no entry has work in flight.
     *
     * @param entries  all entries that may have work on the worker, not null
     * @return true if every entry reported no work in flight or is gone
     */
    public boolean drained(Set<EntryId> entries) {
        return undrainedEntries(entries).isEmpty();
    }

    /**
     * Returns the attempt, the counts by entry and the entries that are gone.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "attempt " + attempt + ", in flight " + inFlightByEntry + ", gone " + goneEntries;
    }
}
