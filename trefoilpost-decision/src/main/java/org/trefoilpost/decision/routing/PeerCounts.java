package org.trefoilpost.decision.routing;

import java.util.function.Consumer;
import org.trefoilpost.model.EntryId;

/**
 * The counts that peers reported, which expire in the order of their reports.
 */
final class PeerCounts {
    /** The units of a mean that stand for one attempt; whole units make sums exact. */
    static final int UNITS_PER_ATTEMPT = 1_024;

    /** The mean below which a peer counts as having nothing in flight, in units. */
    private static final int MIN_MEAN_UNITS = 20;

    private final long maxAgeMillis;
    private final double newestWeight;
    private Count oldest;
    private Count newest;

    PeerCounts(long maxAgeMillis, double weight) {
        this.maxAgeMillis = maxAgeMillis;
        this.newestWeight = weight;
    }

    /** Records a report; the candidate's sum is up to date afterwards. */
    void report(Candidate candidate, EntryId entry, int inFlight, long nowMillis) {
        Count count = candidate.peerCounts().get(entry);
        if (count == null && inFlight == 0) {
            return;
        }
        if (count == null) {
            count = new Count(candidate, entry);
            candidate.peerCounts().put(entry, count);
        } else {
            unlink(count);
        }
        int change = (int) Math.round(newestWeight * (inFlight * UNITS_PER_ATTEMPT - count.meanUnits));
        candidate.addPeerUnits(change);
        count.meanUnits += change;
        count.reportedMillis = nowMillis;
        if (inFlight == 0 && count.meanUnits < MIN_MEAN_UNITS) {
            candidate.addPeerUnits(-count.meanUnits);
            candidate.peerCounts().remove(entry);
        } else {
            append(count);
        }
    }

    /** Drops the counts that are too old and tells which candidates changed. */
    void expire(long nowMillis, Consumer<Candidate> changed) {
        while (oldest != null && nowMillis - oldest.reportedMillis >= maxAgeMillis) {
            Count count = oldest;
            drop(count);
            changed.accept(count.candidate);
        }
    }

    /** Drops all counts of a candidate. */
    void remove(Candidate candidate) {
        for (Count count : candidate.peerCounts().values()) {
            unlink(count);
        }
        candidate.peerCounts().clear();
        candidate.clearPeerUnits();
    }

    private void drop(Count count) {
        unlink(count);
        count.candidate.peerCounts().remove(count.entry);
        count.candidate.addPeerUnits(-count.meanUnits);
    }

    private void append(Count count) {
        count.older = newest;
        count.newer = null;
        if (newest == null) {
            oldest = count;
        } else {
            newest.newer = count;
        }
        newest = count;
    }

    private void unlink(Count count) {
        if (count.older == null) {
            oldest = count.newer;
        } else {
            count.older.newer = count.newer;
        }
        if (count.newer == null) {
            newest = count.older;
        } else {
            count.newer.older = count.older;
        }
        count.older = null;
        count.newer = null;
    }

    /**
     * The attempts of one peer at one worker, a node of the list in the order of the reports.
     */
    static final class Count {
        private final Candidate candidate;
        private final EntryId entry;
        private int meanUnits;
        private long reportedMillis;
        private Count older;
        private Count newer;

        private Count(Candidate candidate, EntryId entry) {
            this.candidate = candidate;
            this.entry = entry;
        }
    }
}
