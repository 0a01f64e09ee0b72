package org.trefoilpost.decision.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.EntryId;

/**
 * The journal of a shard in the store: take-over, recovery, group commit, archives and retention.
 *
 * <p>The tail is one key that is never deleted and that each batch rewrites by compare-and-swap, so that its revision
 * fences every former owner. A full tail is first copied to an archive, and emptied by the next batch. At most one store
 * call is under way at any time.
 */
final class ShardJournal {
    private static final int OUTAGE_FAILURE_COUNT = 2;

    private final int shard;
    private final EntryId self;
    private final long incarnation;
    private final ClaimSettings settings;
    private final JournalListener listener;
    private final JournalKeys keys;
    private final TokenBucket bucket;
    private final ArchiveIndex archives = new ArchiveIndex();

    private JournalPhase phase = JournalPhase.RELEASED;
    private long epoch;
    private long highestEpoch;
    private long lastWriteNumber;
    private long lastCallId;
    private long tailRevision;
    private List<ClaimRecord> tailClaims = List.of();
    private List<ClaimRecord> batch = List.of();
    private List<ClaimRecord> archivedClaims = new ArrayList<>();
    private PendingStoreCall pendingCall;
    private boolean lastCallWasDelete;
    private boolean restoreReported;
    private boolean claimsInMemory;
    private boolean archiveMissing;

    ShardJournal(int shard, EntryId self, long incarnation, ClaimSettings settings, JournalListener listener) {
        this.shard = shard;
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.listener = listener;
        keys = new JournalKeys(shard);
        bucket = new TokenBucket(settings.writesPerSecond(), settings.writeBurst());
    }

    JournalPhase phase() {
        return phase;
    }

    long epoch() {
        return epoch;
    }

    boolean isStoreUnavailable() {
        return pendingCall != null && pendingCall.failures() >= OUTAGE_FAILURE_COUNT;
    }

    boolean isBatchUnresolved() {
        return !batch.isEmpty();
    }

    void takeOver() {
        if (phase == JournalPhase.RELEASED) {
            claimsInMemory = false;
            startRecovery();
        }
    }

    void observeEpoch(long otherEpoch) {
        highestEpoch = Math.max(highestEpoch, otherEpoch);
    }

    void release(Optional<EntryId> successor) {
        phase = JournalPhase.RELEASED;
        pendingCall = null;
        batch = List.of();
        listener.ownershipLost(epoch, successor);
    }

    /** Returns the call to make now, if one is due. */
    Optional<StoreCall> nextCall(long nowMillis) {
        if (pendingCall == null && hasWork() && bucket.isAvailable(nowMillis)) {
            planCall(nowMillis);
        }
        if (pendingCall == null || pendingCall.isIssued() || pendingCall.dueAtMillis() > nowMillis) {
            return Optional.empty();
        }
        if (!pendingCall.operation().isRead() && !bucket.tryTake(nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(pendingCall.issue(++lastCallId));
    }

    /** Returns the time at which the next call may be due, or the largest time if a reply or an event comes first. */
    long nextCallDueAtMillis() {
        if (pendingCall != null) {
            return pendingCall.isIssued() ? Long.MAX_VALUE : pendingCallDueAtMillis();
        }
        return hasWork() ? bucket.nextTokenAtMillis() : Long.MAX_VALUE;
    }

    private long pendingCallDueAtMillis() {
        return pendingCall.operation().isRead()
                ? pendingCall.dueAtMillis()
                : Math.max(pendingCall.dueAtMillis(), bucket.nextTokenAtMillis());
    }

    private boolean hasWork() {
        return phase == JournalPhase.OWNED && (archives.hasDeletions() || listener.hasUnwrittenClaims());
    }

    private void planCall(long nowMillis) {
        if (archives.hasDeletions() && !(lastCallWasDelete && listener.hasUnwrittenClaims())) {
            lastCallWasDelete = true;
            pendingCall = archives.nextDeletion();
            return;
        }
        lastCallWasDelete = false;
        if ((long) tailClaims.size() * SegmentCodec.MAX_CLAIM_BYTES >= settings.tailRolloverBytes()) {
            planArchive();
        } else {
            planBatch(nowMillis);
        }
    }

    private void planBatch(long nowMillis) {
        batch = listener.takeBatch(settings.maxBatchClaims(), nowMillis);
        if (batch.isEmpty()) {
            return;
        }
        long expired = nowMillis - ClaimTable.claimLifetimeMillis(settings);
        archives.expire(expired);
        List<ClaimRecord> kept = tailClaims.stream()
                .filter(claim -> claim.claimedAtMillis() >= expired)
                .toList();
        Segment segment = Segment.tail(
                shard, nextStamp(), archives.firstSequence(), archives.lastSequence(), Segment.concat(kept, batch));
        pendingCall = PendingStoreCall.write(JournalOperation.WRITE_BATCH, keys.tail(), tailRevision, segment);
    }

    private void planArchive() {
        List<ClaimRecord> grown = Segment.concat(archives.lastArchiveClaims(), tailClaims);
        boolean fits = (long) grown.size() * SegmentCodec.MAX_CLAIM_BYTES <= settings.maxArchiveBytes();
        boolean grows = fits && archives.firstSequence() <= archives.lastSequence();
        long sequence = grows ? archives.lastSequence() : archives.lastSequence() + 1;
        Segment segment = Segment.archive(shard, nextStamp(), sequence, grows ? grown : tailClaims);
        long revision = archives.revisionOf(sequence);
        pendingCall = PendingStoreCall.write(JournalOperation.WRITE_ARCHIVE, keys.archive(sequence), revision, segment);
    }

    private SegmentStamp nextStamp() {
        return new SegmentStamp(epoch, self, incarnation, ++lastWriteNumber);
    }

    void handle(StoreReply reply, long nowMillis) {
        if (pendingCall == null || !pendingCall.isAnsweredBy(reply)) {
            return;
        }
        if (reply instanceof StoreFailed) {
            pendingCall.fail(nowMillis);
            return;
        }
        PendingStoreCall answered = pendingCall;
        pendingCall = null;
        if (reply instanceof KeyRead read) {
            handleRead(answered, read, nowMillis);
        } else if (reply instanceof KeyWritten written) {
            handleWritten(answered, written.revision(), nowMillis);
        } else if (reply instanceof StoreConflicted) {
            handleConflict(answered);
        }
    }

    private void handleWritten(PendingStoreCall written, long revision, long nowMillis) {
        switch (written.operation()) {
            case SEAL -> handleSealed(written.segment(), revision);
            case WRITE_BATCH -> handleBatchWritten(written.segment(), revision, nowMillis);
            case WRITE_ARCHIVE -> handleArchiveWritten(written.segment(), revision);
            default -> throw new IllegalStateException(written.operation() + " is not a write");
        }
    }

    private void handleSealed(Segment sealed, long revision) {
        epoch = sealed.epoch();
        observeEpoch(epoch);
        restoreReported = false;
        archiveMissing = false;
        tailRevision = revision;
        tailClaims = sealed.claims();
        archives.reset(sealed.firstSequence(), sealed.lastSequence());
        archivedClaims = new ArrayList<>();
        phase = JournalPhase.RECOVERING;
        recoverArchive(sealed.firstSequence());
    }

    private void recoverArchive(long sequence) {
        if (sequence <= archives.lastSequence()) {
            Segment wanted = Segment.archive(shard, nextStamp(), sequence, List.of());
            pendingCall = PendingStoreCall.read(JournalOperation.RECOVER_ARCHIVE, keys.archive(sequence), wanted);
            return;
        }
        List<ClaimRecord> archived = archivedClaims;
        archivedClaims = new ArrayList<>();
        phase = JournalPhase.OWNED;
        claimsInMemory = true;
        if (archiveMissing) {
            archives.reset(archives.lastSequence() + 1, archives.lastSequence());
            listener.recovered(epoch, tailClaims, archived);
        } else {
            listener.recovered(epoch, Segment.concat(archived, tailClaims), List.of());
        }
    }

    private void handleBatchWritten(Segment written, long revision, long nowMillis) {
        tailRevision = revision;
        tailClaims = written.claims();
        archives.deleteBefore(written.firstSequence(), keys);
        List<ClaimRecord> durable = batch;
        batch = List.of();
        listener.batchDurable(durable, nowMillis);
    }

    private void handleArchiveWritten(Segment written, long revision) {
        archives.put(written.lastSequence(), revision, written.claims());
        tailClaims = List.of();
    }

    private void handleConflict(PendingStoreCall conflicted) {
        switch (conflicted.operation()) {
            case DELETE -> lastCallWasDelete = true;
            case SEAL -> readBack(JournalOperation.READ_TAIL, conflicted);
            case WRITE_BATCH -> readBack(JournalOperation.RESOLVE_BATCH, conflicted);
            case WRITE_ARCHIVE -> readBack(JournalOperation.RESOLVE_ARCHIVE, conflicted);
            default -> throw new IllegalStateException(conflicted.operation() + " cannot conflict");
        }
    }

    private void readBack(JournalOperation step, PendingStoreCall conflicted) {
        pendingCall = PendingStoreCall.read(step, conflicted.storeKey(), conflicted.segment())
                .setFailures(conflicted.failures());
    }

    private void handleRead(PendingStoreCall done, KeyRead read, long nowMillis) {
        Optional<Segment> found;
        try {
            found = read.revision() == 0 ? Optional.empty() : Optional.of(SegmentCodec.decode(shard, read.value()));
        } catch (SegmentException e) {
            rejectSegment(done.storeKey(), e.fault());
            return;
        }
        switch (done.operation()) {
            case READ_TAIL -> seal(Optional.ofNullable(done.segment()), found, read.revision());
            case RECOVER_ARCHIVE -> handleRecovered(done, found, read.revision());
            case RESOLVE_BATCH -> resolveBatch(done.segment(), found, read.revision(), nowMillis);
            case RESOLVE_ARCHIVE -> resolveArchive(done, found, read.revision());
            default -> throw new IllegalStateException(done.operation() + " is not a read");
        }
    }

    private void startRecovery() {
        phase = JournalPhase.SEALING;
        batch = List.of();
        pendingCall = PendingStoreCall.read(JournalOperation.READ_TAIL, keys.tail(), null);
        listener.recoveryStarted();
    }

    private void seal(Optional<Segment> attempted, Optional<Segment> found, long revision) {
        Segment present = found.orElseGet(() -> Segment.empty(shard, self));
        if (attempted.isPresent() && attempted.get().stamp().isSameWrite(present.stamp())) {
            handleSealed(present, revision);
            return;
        }
        if (present.epoch() < highestEpoch) {
            reportRestore(present.epoch());
        }
        observeEpoch(present.epoch());
        if (attempted.isPresent() && present.epoch() >= attempted.get().epoch()) {
            release(Optional.of(present.stamp().owner()));
            return;
        }
        SegmentStamp stamp = new SegmentStamp(highestEpoch + 1, self, incarnation, ++lastWriteNumber);
        pendingCall = PendingStoreCall.write(JournalOperation.SEAL, keys.tail(), revision, present.withStamp(stamp));
    }

    private void handleRecovered(PendingStoreCall done, Optional<Segment> found, long revision) {
        long sequence = done.segment().lastSequence();
        if (found.isEmpty() && claimsInMemory) {
            archiveMissing = true;
            recoverArchive(sequence + 1);
            return;
        }
        if (found.isEmpty()) {
            rejectSegment(done.storeKey(), JournalFault.MISSING);
            return;
        }
        archives.put(sequence, revision, found.get().claims());
        archivedClaims.addAll(found.get().claims());
        recoverArchive(sequence + 1);
    }

    private void resolveBatch(Segment attempted, Optional<Segment> found, long revision, long nowMillis) {
        if (found.isPresent() && found.get().stamp().isSameWrite(attempted.stamp())) {
            handleBatchWritten(attempted, revision, nowMillis);
        } else if (found.isPresent() && found.get().epoch() > epoch) {
            observeEpoch(found.get().epoch());
            release(Optional.of(found.get().stamp().owner()));
        } else {
            reportRestore(found.map(Segment::epoch).orElse(0L));
            startRecovery();
        }
    }

    private void reportRestore(long foundEpoch) {
        if (!restoreReported) {
            restoreReported = true;
            listener.storeRestored(foundEpoch, highestEpoch);
        }
    }

    private void resolveArchive(PendingStoreCall done, Optional<Segment> found, long revision) {
        Segment attempted = done.segment();
        if (found.isPresent() && found.get().stamp().isSameWrite(attempted.stamp())) {
            handleArchiveWritten(attempted, revision);
        } else if (found.isPresent() && found.get().epoch() > epoch) {
            observeEpoch(found.get().epoch());
            pendingCall = PendingStoreCall.read(JournalOperation.RESOLVE_BATCH, keys.tail(), attempted);
        } else if (isArchiveLost(attempted.lastSequence(), found)) {
            reportRestore(epoch);
            startRecovery();
        } else {
            pendingCall = PendingStoreCall.write(JournalOperation.WRITE_ARCHIVE, done.storeKey(), revision, attempted);
        }
    }

    /** Returns whether an archive that this entry wrote or read is gone or has become an older one of its own. */
    private boolean isArchiveLost(long sequence, Optional<Segment> found) {
        boolean known = archives.revisionOf(sequence) != 0;
        return known && (found.isEmpty() || found.get().stamp().incarnation() == incarnation);
    }

    private void rejectSegment(String storeKey, JournalFault fault) {
        listener.journalRefused(storeKey, fault);
        release(Optional.empty());
    }
}
