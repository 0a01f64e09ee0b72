package org.trefoilpost.decision.routing;

import java.util.function.Consumer;
import org.trefoilpost.model.EntryId;

/**
 * The attempts in flight that peers report for each worker, as exponentially weighted means that expire.
 */
final class PeerCounts {
    /** The units of a mean that stand for one attempt; sums of integer units are exact. */
    static final int UNITS_PER_ATTEMPT = 1_024;

    /** The mean below which the count of a peer that reports 0 is removed, in units. */
    private static final int MIN_MEAN_UNITS = 20;

    private final long maxAgeMillis;
    private final double newestWeight;
    private Count oldest;
    private Count newest;

    PeerCounts(long maxAgeMillis, double weight) {
        this.maxAgeMillis = maxAgeMillis;
        this.newestWeight = weight;
    }

    /** Records a report and updates the candidate's sum. */
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

    /** Removes the counts that reached the maximum age and passes the candidate of each to the consumer. */
    void expire(long nowMillis, Consumer<Candidate> changed) {
        while (oldest != null && nowMillis - oldest.reportedMillis >= maxAgeMillis) {
            Count count = oldest;
            drop(count);
            changed.accept(count.candidate);
        }
    }

    /** Removes all counts of a candidate. */
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
     * The mean attempts of one peer at one worker; a node of the list that is ordered by report time.
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
