package org.trefoilpost.decision.wave;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.model.EntryId;

/**
 * What the entries have reported of their work in flight on a cordoned worker.
 *
 * <p>A report counts only if its entry had acknowledged the cordon of the present attempt before: one that had not might
 * have sent more work after it. An entry that can't be asked keeps the tally open until it is known to be gone.
 */
public final class InFlightCounts {
    private final int attempt;
    private final Map<EntryId, Integer> inFlightByEntry;
    private final Set<EntryId> goneEntries;

    private InFlightCounts(int attempt, Map<EntryId, Integer> inFlight, Set<EntryId> gone) {
        this.attempt = attempt;
        this.inFlightByEntry = inFlight;
        this.goneEntries = gone;
    }

    /**
     * Obtains a tally without reports.
     *
     * @param attempt  the attempt of the step whose cordon must be acknowledged
     * @return the tally, not null
     */
    public static InFlightCounts of(int attempt) {
        return new InFlightCounts(attempt, Map.of(), Set.of());
    }

    /**
     * Returns a copy with an entry's report; the same tally if the entry had not acknowledged the cordon.
     *
     * @param entry  the entry, not null
     * @param acknowledged  the newest attempt whose cordon the entry had acknowledged when it counted
     * @param count  the requests that the entry has in flight on the worker, not negative
     * @return the tally, not null
     */
    public InFlightCounts withReport(EntryId entry, int acknowledged, int count) {
        Objects.requireNonNull(entry, "entry");
        if (acknowledged < attempt) {
            return this;
        }
        Map<EntryId, Integer> copy = new HashMap<>(inFlightByEntry);
        copy.put(entry, count);
        return new InFlightCounts(attempt, copy, goneEntries);
    }

    /**
     * Returns a copy in which an entry is known to be gone with all its work.
     *
     * @param entry  the entry, not null
     * @return the tally, not null
     */
    public InFlightCounts withEntryGone(EntryId entry) {
        Set<EntryId> copy = new HashSet<>(goneEntries);
        copy.add(entry);
        return new InFlightCounts(attempt, inFlightByEntry, copy);
    }

    /**
     * Returns the entries that keep the worker from being stopped.
     *
     * @param entries  all entries that may have work on the worker, not null
     * @return the entries that have work in flight or have not reported, not null
     */
    public Set<EntryId> undrainedEntries(Set<EntryId> entries) {
        Set<EntryId> open = new TreeSet<>(entries);
        open.removeAll(goneEntries);
        open.removeIf(entry -> inFlightByEntry.getOrDefault(entry, 1) == 0);
        return open;
    }

    /**
     * Returns whether no entry has work in flight.
     *
     * @param entries  all entries that may have work on the worker, not null
     * @return true if every one reported none or is gone
     */
    public boolean drained(Set<EntryId> entries) {
        return undrainedEntries(entries).isEmpty();
    }

    /**
     * Returns the reports.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "attempt " + attempt + ", in flight " + inFlightByEntry + ", gone " + goneEntries;
    }
}
