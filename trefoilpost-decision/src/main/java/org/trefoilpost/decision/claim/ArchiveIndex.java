package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The archives of a shard: their range, their revisions, and the claims of the last, which may still grow.
 */
final class ArchiveIndex {
    private final Map<Long, Archive> archives = new TreeMap<>();
    private final Deque<PendingCall> deletions = new ArrayDeque<>();
    private long first = 1;
    private long last;
    private List<ClaimRecord> lastClaims = List.of();

    void reset(long newFirst, long newLast) {
        archives.clear();
        deletions.clear();
        first = newFirst;
        last = newLast;
        lastClaims = List.of();
    }

    long first() {
        return first;
    }

    long last() {
        return last;
    }

    long revisionOf(long sequence) {
        Archive archive = archives.get(sequence);
        return archive == null ? 0 : archive.revision;
    }

    List<ClaimRecord> lastClaims() {
        return lastClaims;
    }

    void put(long sequence, long revision, List<ClaimRecord> claims) {
        archives.put(sequence, new Archive(revision, newestOf(claims)));
        last = Math.max(last, sequence);
        if (sequence == last) {
            lastClaims = claims;
        }
    }

    /** Excludes the archives of which every claim was made before a time. */
    void expire(long claimedBeforeMillis) {
        while (first <= last && archives.get(first).newestMillis < claimedBeforeMillis) {
            first++;
        }
        if (first > last) {
            lastClaims = List.of();
        }
    }

    /** Plans to delete the archives that a durable tail no longer names. */
    void deleteBefore(long durableFirst, JournalKeys keys) {
        while (!archives.isEmpty()) {
            Map.Entry<Long, Archive> oldest = archives.entrySet().iterator().next();
            if (oldest.getKey() >= durableFirst) {
                return;
            }
            deletions.add(PendingCall.delete(keys.archive(oldest.getKey()), oldest.getValue().revision));
            archives.remove(oldest.getKey());
        }
    }

    boolean hasDeletions() {
        return !deletions.isEmpty();
    }

    PendingCall nextDeletion() {
        return deletions.remove();
    }

    private static long newestOf(List<ClaimRecord> claims) {
        return claims.stream().mapToLong(ClaimRecord::claimedAtMillis).max().orElse(0);
    }

    /** The revision of an archive and the time of its newest claim. */
    private static final class Archive {
        private final long revision;
        private final long newestMillis;

        private Archive(long revision, long newestMillis) {
            this.revision = revision;
            this.newestMillis = newestMillis;
        }
    }
}
