package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The archives of a shard: the range of their sequence numbers, their revisions, and the claims of the last archive,
 * which accepts more claims until it is full. The range is empty when the last number is one less than the first.
 */
final class ArchiveIndex {
    private final Map<Long, Archive> archives = new TreeMap<>();
    private final Deque<PendingStoreCall> pendingDeletions = new ArrayDeque<>();
    private long firstSequence = 1;
    private long lastSequence;
    private List<ClaimRecord> lastArchiveClaims = List.of();

    void reset(long newFirstSequence, long newLastSequence) {
        archives.clear();
        pendingDeletions.clear();
        firstSequence = newFirstSequence;
        lastSequence = newLastSequence;
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

    /** Removes from the range the oldest archives in which every claim was made before the given time. */
    void expire(long claimedBeforeMillis) {
        while (firstSequence <= lastSequence && archives.get(firstSequence).newestClaimMillis < claimedBeforeMillis) {
            firstSequence++;
        }
        if (firstSequence > lastSequence) {
            lastArchiveClaims = List.of();
        }
    }

    /** Queues the deletion of the archives before the first one that the durable tail refers to. */
    void deleteBefore(long durableFirstSequence, JournalKeys keys) {
        while (!archives.isEmpty()) {
            Map.Entry<Long, Archive> oldest = archives.entrySet().iterator().next();
            if (oldest.getKey() >= durableFirstSequence) {
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

        private Archive(long revision, long newestClaimMillis) {
            this.revision = revision;
            this.newestClaimMillis = newestClaimMillis;
        }
    }
}
