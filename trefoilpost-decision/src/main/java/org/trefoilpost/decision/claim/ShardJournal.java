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
    private static final int OUTAGE_FAILURES = 2;

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
    private long lastBatch;
    private long lastCallId;
    private long tailRevision;
    private List<ClaimRecord> tailClaims = List.of();
    private List<ClaimRecord> batch = List.of();
    private List<ClaimRecord> recovered = new ArrayList<>();
    private PendingCall call;
    private boolean deletedLast;
    private boolean restoreReported;
    private boolean knowsClaims;
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
        return call != null && call.failures() >= OUTAGE_FAILURES;
    }

    boolean isBatchUnresolved() {
        return !batch.isEmpty();
    }

    void acquire() {
        if (phase == JournalPhase.RELEASED) {
            knowsClaims = false;
            startRecovery();
        }
    }

    void observe(long otherEpoch) {
        highestEpoch = Math.max(highestEpoch, otherEpoch);
    }

    void release(Optional<EntryId> successor) {
        phase = JournalPhase.RELEASED;
        call = null;
        batch = List.of();
        listener.ownershipLost(epoch, successor);
    }

    /** Returns the call to make now, if one is due. */
    Optional<StoreCall> nextCall(long nowMillis) {
        if (call == null && hasWork() && bucket.isAvailable(nowMillis)) {
            planCall(nowMillis);
        }
        if (call == null || call.isIssued() || call.issueAtMillis() > nowMillis) {
            return Optional.empty();
        }
        if (!call.step().isRead() && !bucket.tryTake(nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(call.issue(++lastCallId));
    }

    /** Returns the time at which the next call may be due, or the largest time if a reply or an event comes first. */
    long wakeUpAtMillis() {
        if (call != null) {
            return call.isIssued() ? Long.MAX_VALUE : callDueAtMillis();
        }
        return hasWork() ? bucket.nextAtMillis() : Long.MAX_VALUE;
    }

    private long callDueAtMillis() {
        return call.step().isRead() ? call.issueAtMillis() : Math.max(call.issueAtMillis(), bucket.nextAtMillis());
    }

    private boolean hasWork() {
        return phase == JournalPhase.OWNED && (archives.hasDeletions() || listener.hasUnwrittenClaims());
    }

    private void planCall(long nowMillis) {
        if (archives.hasDeletions() && !(deletedLast && listener.hasUnwrittenClaims())) {
            deletedLast = true;
            call = archives.nextDeletion();
            return;
        }
        deletedLast = false;
        if ((long) tailClaims.size() * SegmentCodec.MAX_CLAIM_BYTES >= settings.tailBytes()) {
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
        long expired = nowMillis - ClaimTable.holdMillis(settings);
        archives.expire(expired);
        List<ClaimRecord> kept = tailClaims.stream()
                .filter(claim -> claim.claimedAtMillis() >= expired)
                .toList();
        Segment segment =
                Segment.tail(shard, nextStamp(), archives.first(), archives.last(), Segment.joined(kept, batch));
        call = PendingCall.write(JournalStep.WRITE_BATCH, keys.tail(), tailRevision, segment);
    }

    private void planArchive() {
        List<ClaimRecord> grown = Segment.joined(archives.lastClaims(), tailClaims);
        boolean fits = (long) grown.size() * SegmentCodec.MAX_CLAIM_BYTES <= settings.archiveBytes();
        boolean grows = fits && archives.first() <= archives.last();
        long sequence = grows ? archives.last() : archives.last() + 1;
        Segment segment = Segment.archive(shard, nextStamp(), sequence, grows ? grown : tailClaims);
        long revision = archives.revisionOf(sequence);
        call = PendingCall.write(JournalStep.WRITE_ARCHIVE, keys.archive(sequence), revision, segment);
    }

    private SegmentStamp nextStamp() {
        return new SegmentStamp(epoch, self, incarnation, ++lastBatch);
    }

    void handle(StoreReply reply, long nowMillis) {
        if (call == null || !call.isAnsweredBy(reply)) {
            return;
        }
        if (reply instanceof StoreFailed) {
            call.fail(nowMillis);
            return;
        }
        PendingCall answered = call;
        call = null;
        if (reply instanceof KeyRead read) {
            handleRead(answered, read, nowMillis);
        } else if (reply instanceof KeyWritten written) {
            handleWritten(answered, written.revision(), nowMillis);
        } else if (reply instanceof StoreConflicted) {
            handleConflict(answered);
        }
    }

    private void handleWritten(PendingCall written, long revision, long nowMillis) {
        switch (written.step()) {
            case SEAL -> handleSealed(written.segment(), revision);
            case WRITE_BATCH -> handleBatchWritten(written.segment(), revision, nowMillis);
            case WRITE_ARCHIVE -> handleArchiveWritten(written.segment(), revision);
            default -> throw new IllegalStateException(written.step() + " is not a write");
        }
    }

    private void handleSealed(Segment sealed, long revision) {
        epoch = sealed.epoch();
        observe(epoch);
        restoreReported = false;
        archiveMissing = false;
        tailRevision = revision;
        tailClaims = sealed.claims();
        archives.reset(sealed.first(), sealed.last());
        recovered = new ArrayList<>();
        phase = JournalPhase.RECOVERING;
        recoverArchive(sealed.first());
    }

    private void recoverArchive(long sequence) {
        if (sequence <= archives.last()) {
            Segment wanted = Segment.archive(shard, nextStamp(), sequence, List.of());
            call = PendingCall.read(JournalStep.RECOVER_ARCHIVE, keys.archive(sequence), wanted);
            return;
        }
        List<ClaimRecord> archived = recovered;
        recovered = new ArrayList<>();
        phase = JournalPhase.OWNED;
        knowsClaims = true;
        if (archiveMissing) {
            archives.reset(archives.last() + 1, archives.last());
            listener.recovered(epoch, tailClaims, archived);
        } else {
            listener.recovered(epoch, Segment.joined(archived, tailClaims), List.of());
        }
    }

    private void handleBatchWritten(Segment written, long revision, long nowMillis) {
        tailRevision = revision;
        tailClaims = written.claims();
        archives.deleteBefore(written.first(), keys);
        List<ClaimRecord> durable = batch;
        batch = List.of();
        listener.batchDurable(durable, nowMillis);
    }

    private void handleArchiveWritten(Segment written, long revision) {
        archives.put(written.last(), revision, written.claims());
        tailClaims = List.of();
    }

    private void handleConflict(PendingCall conflicted) {
        switch (conflicted.step()) {
            case DELETE -> deletedLast = true;
            case SEAL -> resolve(JournalStep.READ_TAIL, conflicted);
            case WRITE_BATCH -> resolve(JournalStep.RESOLVE_BATCH, conflicted);
            case WRITE_ARCHIVE -> resolve(JournalStep.RESOLVE_ARCHIVE, conflicted);
            default -> throw new IllegalStateException(conflicted.step() + " cannot conflict");
        }
    }

    private void resolve(JournalStep step, PendingCall conflicted) {
        call = PendingCall.read(step, conflicted.storeKey(), conflicted.segment())
                .withFailures(conflicted.failures());
    }

    private void handleRead(PendingCall done, KeyRead read, long nowMillis) {
        Optional<Segment> found;
        try {
            found = read.revision() == 0 ? Optional.empty() : Optional.of(SegmentCodec.decode(shard, read.value()));
        } catch (SegmentException e) {
            refuse(done.storeKey(), e.fault());
            return;
        }
        switch (done.step()) {
            case READ_TAIL -> seal(Optional.ofNullable(done.segment()), found, read.revision());
            case RECOVER_ARCHIVE -> handleRecovered(done, found, read.revision());
            case RESOLVE_BATCH -> resolveBatch(done.segment(), found, read.revision(), nowMillis);
            case RESOLVE_ARCHIVE -> resolveArchive(done, found, read.revision());
            default -> throw new IllegalStateException(done.step() + " is not a read");
        }
    }

    private void startRecovery() {
        phase = JournalPhase.SEALING;
        batch = List.of();
        call = PendingCall.read(JournalStep.READ_TAIL, keys.tail(), null);
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
        observe(present.epoch());
        if (attempted.isPresent() && present.epoch() >= attempted.get().epoch()) {
            release(Optional.of(present.stamp().owner()));
            return;
        }
        SegmentStamp stamp = new SegmentStamp(highestEpoch + 1, self, incarnation, ++lastBatch);
        call = PendingCall.write(JournalStep.SEAL, keys.tail(), revision, present.withStamp(stamp));
    }

    private void handleRecovered(PendingCall done, Optional<Segment> found, long revision) {
        long sequence = done.segment().last();
        if (found.isEmpty() && knowsClaims) {
            archiveMissing = true;
            recoverArchive(sequence + 1);
            return;
        }
        if (found.isEmpty()) {
            refuse(done.storeKey(), JournalFault.MISSING);
            return;
        }
        archives.put(sequence, revision, found.get().claims());
        recovered.addAll(found.get().claims());
        recoverArchive(sequence + 1);
    }

    private void resolveBatch(Segment attempted, Optional<Segment> found, long revision, long nowMillis) {
        if (found.isPresent() && found.get().stamp().isSameWrite(attempted.stamp())) {
            handleBatchWritten(attempted, revision, nowMillis);
        } else if (found.isPresent() && found.get().epoch() > epoch) {
            observe(found.get().epoch());
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

    private void resolveArchive(PendingCall done, Optional<Segment> found, long revision) {
        Segment attempted = done.segment();
        if (found.isPresent() && found.get().stamp().isSameWrite(attempted.stamp())) {
            handleArchiveWritten(attempted, revision);
        } else if (found.isPresent() && found.get().epoch() > epoch) {
            observe(found.get().epoch());
            call = PendingCall.read(JournalStep.RESOLVE_BATCH, keys.tail(), attempted);
        } else if (isArchiveLost(attempted.last(), found)) {
            reportRestore(epoch);
            startRecovery();
        } else {
            call = PendingCall.write(JournalStep.WRITE_ARCHIVE, done.storeKey(), revision, attempted);
        }
    }

    /** Returns whether an archive that this entry wrote or read is gone or has become an older one of its own. */
    private boolean isArchiveLost(long sequence, Optional<Segment> found) {
        boolean known = archives.revisionOf(sequence) != 0;
        return known && (found.isEmpty() || found.get().stamp().incarnation() == incarnation);
    }

    private void refuse(String storeKey, JournalFault fault) {
        listener.journalRefused(storeKey, fault);
        release(Optional.empty());
    }
}
