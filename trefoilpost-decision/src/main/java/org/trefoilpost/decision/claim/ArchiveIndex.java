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
    private final Deque<PendingStoreCall> pendingDeletions = new ArrayDeque<>();
    private long firstSequence = 1;
    private long lastSequence;
    private List<ClaimRecord> lastArchiveClaims = List.of();

    void reset(long newFirst, long newLast) {
        archives.clear();
        pendingDeletions.clear();
        firstSequence = newFirst;
        lastSequence = newLast;
        lastArchiveClaims = List.of();
    }

    long firstSequence() {
        return firstSequence;
    }

    long lastSequence() {
        return lastSequence;
    }

    long revisionOf(long sequence) {
        Archive archive = archives.get(sequence);
        return archive == null ? 0 : archive.revision;
    }

    List<ClaimRecord> lastArchiveClaims() {
        return lastArchiveClaims;
    }

    void put(long sequence, long revision, List<ClaimRecord> claims) {
        archives.put(sequence, new Archive(revision, newestClaimMillis(claims)));
        lastSequence = Math.max(lastSequence, sequence);
        if (sequence == lastSequence) {
            lastArchiveClaims = claims;
        }
    }

    /** Excludes the archives of which every claim was made before a time. */
    void expire(long claimedBeforeMillis) {
        while (firstSequence <= lastSequence && archives.get(firstSequence).newestClaimMillis < claimedBeforeMillis) {
            firstSequence++;
        }
        if (firstSequence > lastSequence) {
            lastArchiveClaims = List.of();
        }
    }

    /** Plans to delete the archives that a durable tail no longer names. */
    void deleteBefore(long durableFirst, JournalKeys keys) {
        while (!archives.isEmpty()) {
            Map.Entry<Long, Archive> oldest = archives.entrySet().iterator().next();
            if (oldest.getKey() >= durableFirst) {
                return;
            }
            pendingDeletions.add(PendingStoreCall.delete(keys.archive(oldest.getKey()), oldest.getValue().revision));
            archives.remove(oldest.getKey());
        }
    }

    boolean hasDeletions() {
        return !pendingDeletions.isEmpty();
    }

    PendingStoreCall nextDeletion() {
        return pendingDeletions.remove();
    }

    private static long newestClaimMillis(List<ClaimRecord> claims) {
        return claims.stream().mapToLong(ClaimRecord::claimedAtMillis).max().orElse(0);
    }

    /** The revision of an archive and the time of its newest claim. */
    private static final class Archive {
        private final long revision;
        private final long newestClaimMillis;

        private Archive(long revision, long newestMillis) {
            this.revision = revision;
            this.newestClaimMillis = newestMillis;
        }
    }
}
