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
 * Moves the claims of a shard from stage to stage, as the journal and the outcomes of requests demand.
 */
final class ShardClaims implements JournalListener {
    private final int shard;
    private final ClaimTable table;
    private final RequestBook requests;
    private final List<ClaimAction> actions;
    private final Deque<Claim> pending = new ArrayDeque<>();
    private final Deque<Claim> unrecorded = new ArrayDeque<>();

    ShardClaims(int shard, ClaimTable table, RequestBook requests, List<ClaimAction> actions) {
        this.shard = shard;
        this.table = table;
        this.requests = requests;
        this.actions = actions;
    }

    void claim(ClaimRequested requested, long nowMillis) {
        ClaimRecord claimRecord = ClaimRecord.of(requested.key(), requested.fingerprint(), nowMillis);
        Claim claim = table.add(claimRecord, ClaimStage.PENDING);
        requests.await(requested.requestId(), requested.deadlineMillis(), claim);
        pending.add(claim);
    }

    void recordAnswer(ClaimKey key, ClaimAnswer answer, boolean released) {
        Optional<Claim> known = table.find(key);
        if (known.isEmpty() || known.get().stage() == ClaimStage.ANSWERED) {
            return;
        }
        Claim claim = known.get();
        if (claim.stage() == ClaimStage.SENT || claim.stage() == ClaimStage.UNKNOWN) {
            answer(claim, answer);
            if (released) {
                HandedClaim handed = HandedClaim.of(claim.claimRecord(), answer);
                actions.add(HandOverReady.of(HandOver.of(shard, List.of(handed))));
            }
        }
    }

    private void answer(Claim claim, ClaimAnswer answer) {
        requests.replayAll(claim, answer);
        table.keepAnswer(claim, answer);
    }

    void recordUnknown(ClaimKey key, UncertaintyReason reason) {
        table.find(key).filter(claim -> claim.stage() == ClaimStage.SENT).ifPresent(claim -> {
            claim.moveTo(ClaimStage.UNKNOWN);
            requests.concludeAll(claim, Verdict.mayHaveRun(reason));
        });
    }

    void abandon(ClaimKey key, boolean released, long nowMillis) {
        Optional<Claim> sent = table.find(key).filter(claim -> claim.stage() == ClaimStage.SENT);
        if (sent.isEmpty()) {
            return;
        }
        Claim claim = sent.get();
        claim.moveTo(ClaimStage.UNSENT);
        if (released || !claim.isDurable() || nowMillis >= requests.sendLimitMillis(claim)) {
            claim.moveTo(ClaimStage.UNKNOWN);
            requests.concludeAll(claim, requests.unavailable());
        } else if (claim.isAwaited()) {
            requests.dispatch(claim.firstWaiter());
        }
    }

    /** Ends the waiting of a request whose caller is gone. */
    void withdraw(Waiter waiter) {
        requests.release(waiter);
        endIfAbandoned(waiter.claim());
    }

    void endAtDeadline(Waiter waiter) {
        boolean sent = waiter.claim().stage() == ClaimStage.SENT;
        Verdict late = sent ? Verdict.mayHaveRun(UncertaintyReason.DEADLINE_PASSED) : requests.unavailable();
        requests.conclude(waiter, late);
        endIfAbandoned(waiter.claim());
    }

    /** Marks a claim for which no request waits any longer as never to be sent. */
    void endIfAbandoned(Claim claim) {
        if (claim.isAwaited()) {
            return;
        }
        if (claim.stage() == ClaimStage.PENDING) {
            table.remove(claim);
            pending.remove(claim);
        } else if (claim.stage() == ClaimStage.WRITING) {
            claim.moveTo(ClaimStage.UNSENT);
        }
    }

    void refusePending() {
        while (!pending.isEmpty()) {
            Claim claim = pending.remove();
            requests.concludeAll(claim, requests.unavailable());
            table.remove(claim);
        }
    }

    void merge(HandOver handOver, boolean owner, long claimedAfterMillis) {
        for (HandedClaim handed : handOver.claims()) {
            if (handOver.shard() == shard && handed.claim().claimedAtMillis() >= claimedAfterMillis) {
                merge(handed, owner);
            }
        }
        table.sortByAge();
    }

    private void merge(HandedClaim handed, boolean owner) {
        Optional<Claim> known = table.find(handed.claim().key());
        boolean unwritten = known.isEmpty() || known.get().stage() == ClaimStage.PENDING;
        Claim claim = known.orElseGet(() -> table.add(handed.claim(), ClaimStage.UNKNOWN));
        if (claim.matches(handed.claim()) && claim.stage() != ClaimStage.ANSWERED) {
            handed.answer().ifPresent(answer -> requests.replayAll(claim, answer));
        }
        foundElsewhere(claim, handed.claim());
        if (claim.matches(handed.claim()) && claim.stage() != ClaimStage.ANSWERED) {
            handed.answer().ifPresent(answer -> table.keepAnswer(claim, answer));
        }
        if (owner && unwritten) {
            unrecorded.add(claim);
        }
    }

    /** Notes that another owner claimed a key, so that requests that wait for its claim here must not be sent. */
    private void foundElsewhere(Claim claim, ClaimRecord found) {
        if (!claim.stage().isKept()) {
            boolean same = claim.matches(found);
            pending.remove(claim);
            claim.replaceRecord(found);
            claim.moveTo(ClaimStage.UNKNOWN);
            Verdict verdict = same ? RequestBook.claimedEarlier() : requests.refusal(RefusalReason.KEY_REUSED);
            requests.concludeAll(claim, verdict);
        }
    }

    @Override
    public boolean hasUnwrittenClaims() {
        return !pending.isEmpty() || !unrecorded.isEmpty();
    }

    @Override
    public List<ClaimRecord> takeBatch(int maxClaims, long nowMillis) {
        List<ClaimRecord> batch = new ArrayList<>();
        while (batch.size() < maxClaims && !pending.isEmpty()) {
            Claim claim = pending.remove();
            claim.refreshClaimTime(nowMillis);
            claim.moveTo(ClaimStage.WRITING);
            batch.add(claim.claimRecord());
        }
        while (batch.size() < maxClaims && !unrecorded.isEmpty()) {
            batch.add(unrecorded.remove().claimRecord());
        }
        return batch;
    }

    @Override
    public void batchDurable(List<ClaimRecord> batch, long nowMillis) {
        for (ClaimRecord written : batch) {
            table.find(written.key())
                    .filter(claim -> claim.claimRecord() == written)
                    .ifPresent(claim -> claimDurable(claim, nowMillis));
        }
    }

    private void claimDurable(Claim claim, long nowMillis) {
        claim.markDurable(true);
        if (claim.stage() != ClaimStage.WRITING) {
            return;
        }
        if (nowMillis >= requests.sendLimitMillis(claim)) {
            requests.concludeAll(claim, requests.unavailable());
            claim.moveTo(ClaimStage.UNSENT);
            return;
        }
        requests.dispatch(claim.firstWaiter());
    }

    @Override
    public void recoveryStarted() {
        for (Claim claim : table.all()) {
            if (claim.stage() == ClaimStage.WRITING) {
                claim.moveTo(ClaimStage.PENDING);
                pending.add(claim);
            } else if (claim.stage() == ClaimStage.UNSENT) {
                forgetUnsent(claim);
            }
        }
        unrecorded.clear();
    }

    /** Gives up the right to send a request, which another owner may have taken. */
    private void forgetUnsent(Claim claim) {
        if (claim.isDurable()) {
            claim.moveTo(ClaimStage.UNKNOWN);
        } else {
            table.remove(claim);
        }
    }

    @Override
    public void recovered(long epoch, List<ClaimRecord> durable, List<ClaimRecord> stranded) {
        table.all().forEach(claim -> claim.markDurable(false));
        stranded.forEach(this::found);
        durable.forEach(claimRecord -> found(claimRecord).markDurable(true));
        unrecorded.clear();
        for (Claim claim : table.all()) {
            if (claim.stage().isKept() && !claim.isDurable()) {
                unrecorded.add(claim);
            }
        }
        actions.add(OwnershipGained.of(epoch));
    }

    private Claim found(ClaimRecord found) {
        Claim claim = table.find(found.key()).orElseGet(() -> table.add(found, ClaimStage.UNKNOWN));
        foundElsewhere(claim, found);
        return claim;
    }

    @Override
    public void ownershipLost(long epoch, Optional<EntryId> successor) {
        for (Claim claim : table.all()) {
            if (claim.stage().isBeforeDispatch()) {
                requests.concludeAll(claim, requests.unavailable());
                table.remove(claim);
            } else if (claim.stage() == ClaimStage.UNSENT) {
                forgetUnsent(claim);
            }
        }
        pending.clear();
        unrecorded.clear();
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
