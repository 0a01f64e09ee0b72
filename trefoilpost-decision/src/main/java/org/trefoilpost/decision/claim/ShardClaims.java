package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Changes the stages of the claims of a shard as the journal and the outcomes of requests require.
 */
final class ShardClaims implements JournalListener {
    private final int shard;
    private final ClaimTable table;
    private final WaitingRequests requests;
    private final List<ClaimAction> actions;
    private final Deque<Claim> pending = new ArrayDeque<>();
    private final Deque<Claim> missingFromJournal = new ArrayDeque<>();

    ShardClaims(int shard, ClaimTable table, WaitingRequests requests, List<ClaimAction> actions) {
        this.shard = shard;
        this.table = table;
        this.requests = requests;
        this.actions = actions;
    }

    void claim(ClaimRequested requested, long nowMillis) {
        ClaimRecord claimRecord = ClaimRecord.of(requested.key(), requested.fingerprint(), nowMillis);
        Claim claim = table.add(claimRecord, ClaimStage.PENDING);
        requests.enqueue(requested.requestId(), requested.deadlineMillis(), claim);
        pending.add(claim);
    }

    void recordAnswer(ClaimKey key, ClaimAnswer answer, boolean released) {
        Optional<Claim> known = table.find(key);
        if (known.isEmpty() || known.get().stage() == ClaimStage.ANSWERED) {
            return;
        }
        Claim claim = known.get();
        if (claim.stage() == ClaimStage.SENT || claim.stage() == ClaimStage.UNKNOWN) {
            replayAndStore(claim, answer);
            if (released) {
                HandedOverClaim handed = HandedOverClaim.of(claim.claimRecord(), answer);
                actions.add(HandOverReady.of(HandOver.of(shard, List.of(handed))));
            }
        }
    }

    private void replayAndStore(Claim claim, ClaimAnswer answer) {
        requests.replayAll(claim, answer);
        table.storeAnswer(claim, answer);
    }

    void recordUnknown(ClaimKey key, UncertaintyReason reason) {
        table.find(key).filter(claim -> claim.stage() == ClaimStage.SENT).ifPresent(claim -> {
            claim.setStage(ClaimStage.UNKNOWN);
            requests.concludeAll(claim, Verdict.mayHaveRun(reason));
        });
    }

    void recordAbandoned(ClaimKey key, boolean released, long nowMillis) {
        Optional<Claim> sent = table.find(key).filter(claim -> claim.stage() == ClaimStage.SENT);
        if (sent.isEmpty()) {
            return;
        }
        Claim claim = sent.get();
        claim.setStage(ClaimStage.UNSENT);
        if (released || !claim.isDurable() || nowMillis >= requests.sendBeforeMillis(claim)) {
            claim.setStage(ClaimStage.UNKNOWN);
            requests.concludeAll(claim, requests.unavailableVerdict());
        } else if (claim.hasWaitingRequests()) {
            requests.dispatch(claim.firstWaitingRequest());
        }
    }

    /** Removes a waiting request whose caller cancelled it. */
    void cancel(WaitingRequest request) {
        requests.remove(request);
        dropIfNoRequestWaits(request.claim());
    }

    void concludeAtDeadline(WaitingRequest request) {
        conclude(request, UncertaintyReason.DEADLINE_PASSED, RefusalReason.CLAIM_UNAVAILABLE);
    }

    void concludeAtStop(WaitingRequest request) {
        conclude(request, UncertaintyReason.CONNECTION_LOST, RefusalReason.SHUTTING_DOWN);
    }

    private void conclude(WaitingRequest request, UncertaintyReason ifSent, RefusalReason ifNotSent) {
        boolean sent = request.claim().stage() == ClaimStage.SENT;
        Verdict verdict = sent ? Verdict.mayHaveRun(ifSent) : requests.refusalVerdict(ifNotSent);
        requests.conclude(request, verdict);
        dropIfNoRequestWaits(request.claim());
    }

    /** Removes an unwritten claim for which no request waits; marks one that is being written as not sent. */
    void dropIfNoRequestWaits(Claim claim) {
        if (claim.hasWaitingRequests()) {
            return;
        }
        if (claim.stage() == ClaimStage.PENDING) {
            table.remove(claim);
            pending.remove(claim);
        } else if (claim.stage() == ClaimStage.WRITING) {
            claim.setStage(ClaimStage.UNSENT);
        }
    }

    void refusePending() {
        while (!pending.isEmpty()) {
            Claim claim = pending.remove();
            requests.concludeAll(claim, requests.unavailableVerdict());
            table.remove(claim);
        }
    }

    void merge(HandOver handOver, boolean owner, long claimedAfterMillis) {
        for (HandedOverClaim handed : handOver.claims()) {
            if (handOver.shard() == shard && handed.claim().claimedAtMillis() >= claimedAfterMillis) {
                merge(handed, owner);
            }
        }
        table.sortByAge();
    }

    private void merge(HandedOverClaim handed, boolean owner) {
        Optional<Claim> known = table.find(handed.claim().key());
        boolean unwritten = known.isEmpty() || known.get().stage() == ClaimStage.PENDING;
        Claim claim = known.orElseGet(() -> table.add(handed.claim(), ClaimStage.UNKNOWN));
        if (claim.hasSameFingerprint(handed.claim()) && claim.stage() != ClaimStage.ANSWERED) {
            handed.answer().ifPresent(answer -> requests.replayAll(claim, answer));
        }
        markClaimedElsewhere(claim, handed.claim());
        if (claim.hasSameFingerprint(handed.claim()) && claim.stage() != ClaimStage.ANSWERED) {
            handed.answer().ifPresent(answer -> table.storeAnswer(claim, answer));
        }
        if (owner && unwritten) {
            missingFromJournal.add(claim);
        }
    }

    /** Records that another owner claimed the key. Requests that wait for the claim here are concluded and not sent. */
    private void markClaimedElsewhere(Claim claim, ClaimRecord found) {
        if (!claim.stage().mustStayInJournal()) {
            boolean sameRequest = claim.hasSameFingerprint(found);
            pending.remove(claim);
            claim.replaceRecord(found);
            claim.setStage(ClaimStage.UNKNOWN);
            Verdict verdict = sameRequest
                    ? WaitingRequests.claimedEarlierVerdict()
                    : requests.refusalVerdict(RefusalReason.KEY_REUSED);
            requests.concludeAll(claim, verdict);
        }
    }

    @Override
    public boolean hasUnwrittenClaims() {
        return !pending.isEmpty() || !missingFromJournal.isEmpty();
    }

    @Override
    public List<ClaimRecord> takeBatch(int maxClaims, long nowMillis) {
        List<ClaimRecord> batch = new ArrayList<>();
        while (batch.size() < maxClaims && !pending.isEmpty()) {
            Claim claim = pending.remove();
            claim.refreshClaimTime(nowMillis);
            claim.setStage(ClaimStage.WRITING);
            batch.add(claim.claimRecord());
        }
        while (batch.size() < maxClaims && !missingFromJournal.isEmpty()) {
            batch.add(missingFromJournal.remove().claimRecord());
        }
        return batch;
    }

    @Override
    public void batchDurable(List<ClaimRecord> batch, long nowMillis) {
        for (ClaimRecord written : batch) {
            table.find(written.key())
                    .filter(claim -> claim.claimRecord() == written)
                    .ifPresent(claim -> handleDurable(claim, nowMillis));
        }
    }

    private void handleDurable(Claim claim, long nowMillis) {
        claim.setDurable(true);
        if (claim.stage() != ClaimStage.WRITING) {
            return;
        }
        if (nowMillis >= requests.sendBeforeMillis(claim)) {
            requests.concludeAll(claim, requests.unavailableVerdict());
            claim.setStage(ClaimStage.UNSENT);
            return;
        }
        requests.dispatch(claim.firstWaitingRequest());
    }

    @Override
    public void recoveryStarted() {
        for (Claim claim : table.all()) {
            if (claim.stage() == ClaimStage.WRITING) {
                claim.setStage(ClaimStage.PENDING);
                pending.add(claim);
            } else if (claim.stage() == ClaimStage.UNSENT) {
                dropUnsent(claim);
            }
        }
        missingFromJournal.clear();
    }

    /** Marks an unsent request as unknown if its claim is durable, since another owner may have sent it. */
    private void dropUnsent(Claim claim) {
        if (claim.isDurable()) {
            claim.setStage(ClaimStage.UNKNOWN);
        } else {
            table.remove(claim);
        }
    }

    @Override
    public void recovered(long epoch, List<ClaimRecord> durable, List<ClaimRecord> toRewrite) {
        table.all().forEach(claim -> claim.setDurable(false));
        toRewrite.forEach(this::addRecovered);
        durable.forEach(claimRecord -> addRecovered(claimRecord).setDurable(true));
        missingFromJournal.clear();
        for (Claim claim : table.all()) {
            if (claim.stage().mustStayInJournal() && !claim.isDurable()) {
                missingFromJournal.add(claim);
            }
        }
        actions.add(OwnershipGained.of(epoch));
    }

    private Claim addRecovered(ClaimRecord claimRecord) {
        Claim claim = table.find(claimRecord.key()).orElseGet(() -> table.add(claimRecord, ClaimStage.UNKNOWN));
        markClaimedElsewhere(claim, claimRecord);
        return claim;
    }

    @Override
    public void ownershipLost(long epoch, Optional<EntryId> successor) {
        for (Claim claim : table.all()) {
            if (claim.stage().isBeforeDispatch()) {
                requests.concludeAll(claim, requests.unavailableVerdict());
                table.remove(claim);
            } else if (claim.stage() == ClaimStage.UNSENT) {
                dropUnsent(claim);
            }
        }
        pending.clear();
        missingFromJournal.clear();
        actions.add(OwnershipLost.of(epoch, successor));
        if (table.size() > 0) {
            actions.add(HandOverReady.of(table.export(shard)));
        }
    }

    @Override
    public void storeRestored(long foundEpoch, long knownEpoch) {
        actions.add(StoreRestored.of(foundEpoch, knownEpoch));
    }

    @Override
    public void journalRefused(String storeKey, JournalFault fault) {
        actions.add(JournalRefused.of(storeKey, fault));
    }
}
