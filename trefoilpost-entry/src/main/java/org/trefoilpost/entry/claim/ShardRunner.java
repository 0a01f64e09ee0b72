package org.trefoilpost.entry.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.trefoilpost.decision.claim.AnswerRecorded;
import org.trefoilpost.decision.claim.ClaimAction;
import org.trefoilpost.decision.claim.ClaimEvent;
import org.trefoilpost.decision.claim.ClaimRequested;
import org.trefoilpost.decision.claim.ClaimSettings;
import org.trefoilpost.decision.claim.ClaimShard;
import org.trefoilpost.decision.claim.Conclude;
import org.trefoilpost.decision.claim.Dispatch;
import org.trefoilpost.decision.claim.DispatchAbandoned;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.decision.claim.HandOverReady;
import org.trefoilpost.decision.claim.HandedOverClaim;
import org.trefoilpost.decision.claim.JournalRefused;
import org.trefoilpost.decision.claim.OutcomeUnknown;
import org.trefoilpost.decision.claim.OwnershipGained;
import org.trefoilpost.decision.claim.OwnershipLost;
import org.trefoilpost.decision.claim.Replay;
import org.trefoilpost.decision.claim.RequestCancelled;
import org.trefoilpost.decision.claim.RequestFingerprint;
import org.trefoilpost.decision.claim.SetTimer;
import org.trefoilpost.decision.claim.StoreCall;
import org.trefoilpost.decision.claim.StoreRestored;
import org.trefoilpost.decision.claim.TakeOverRequested;
import org.trefoilpost.decision.claim.TimerFired;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.peer.StoredAnswer;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.VerdictKind;

/**
 * Carries out what a claim shard decides. The duty's thread owns it.
 */
final class ShardRunner {
    private static final EventLog LOG = EventLog.of(ShardRunner.class);
    private static final int MAX_CLAIMS_PER_HAND_OVER = 500;

    private final int shardNumber;
    private final ClaimShard shard;
    private final Factory context;
    private final StoreCallExecutor storeCalls;
    private final Map<String, PendingClaim> pending = new HashMap<>();
    private long lastRequestNumber;
    private long timerMillis = Long.MAX_VALUE;
    private long ownedEpoch;
    private EntryId nextOwner;

    private ShardRunner(int number, Factory context) {
        this.shardNumber = number;
        this.context = context;
        this.shard = ClaimShard.of(number, context.self, context.incarnation, context.limits);
        this.nextOwner = context.self;
        this.storeCalls = new StoreCallExecutor(
                context.store, reply -> context.serviceThread.post(now -> step(reply, now)), context.metrics);
    }

    /**
     * Returns whether this entry owns the shard, as far as it knows.
     *
     * @return true if new keys can be claimed
     */
    boolean isOwner() {
        return shard.isOwner();
    }

    /**
     * Returns the epoch in which this entry owns the shard.
     *
     * @return the epoch, empty if it does not own the shard, not null
     */
    OptionalLong epoch() {
        return shard.isOwner() ? OptionalLong.of(ownedEpoch) : OptionalLong.empty();
    }

    /**
     * Sets the entry to which claims are passed on.
     *
     * @param entry  the preferred owner, not null
     */
    void nextOwner(EntryId entry) {
        this.nextOwner = entry;
    }

    /**
     * Takes in a request.
     *
     * @param request  the request, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void claim(PendingClaim request, long nowMillis) {
        String id = shardNumber + "-" + ++lastRequestNumber;
        pending.put(id, request);
        request.outcome().whenComplete((outcome, failure) -> {
            if (request.outcome().isCancelled()) {
                context.serviceThread.post(now -> onCancelled(id, now));
            }
        });
        if (!shard.isOwner()) {
            step(TakeOverRequested.of(), nowMillis);
        }
        step(
                ClaimRequested.of(
                        id,
                        request.key(),
                        fingerprint(request.request()),
                        request.request().deadlineMillis()),
                nowMillis);
    }

    /**
     * Hands an event to the shard and carries out what follows.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void step(ClaimEvent event, long nowMillis) {
        for (ClaimAction action : shard.step(event, nowMillis)) {
            execute(action, nowMillis);
        }
    }

    private void execute(ClaimAction action, long nowMillis) {
        if (action instanceof StoreCall call) {
            storeCalls.execute(call);
        } else if (action instanceof Dispatch dispatch) {
            dispatch(dispatch, nowMillis);
        } else if (action instanceof Replay replay) {
            context.metrics.count("trefoilpost.claims.replayed", "answer-kept");
            complete(replay.requestId(), RequestOutcome.answered(((StoredAnswer) replay.answer()).answer()));
        } else if (action instanceof Conclude conclusion) {
            complete(conclusion.requestId(), RequestOutcome.of(conclusion.verdict()));
        } else if (action instanceof SetTimer timer) {
            timerMillis = timer.atMillis();
            context.serviceThread.schedule(timer.atMillis(), now -> onTimer(timer.atMillis(), now));
        } else if (action instanceof HandOverReady ready) {
            sendHandOver(ready);
        } else {
            report(action);
        }
    }

    private void onTimer(long scheduledMillis, long nowMillis) {
        if (scheduledMillis == timerMillis) {
            timerMillis = Long.MAX_VALUE;
            step(TimerFired.of(), nowMillis);
        }
    }

    private void dispatch(Dispatch dispatch, long nowMillis) {
        PendingClaim claim = pending.get(dispatch.requestId());
        if (claim == null || dispatch.sendBeforeMillis() <= nowMillis) {
            step(DispatchAbandoned.of(dispatch.key()), nowMillis);
            return;
        }
        long deadlineMillis = Math.min(claim.request().deadlineMillis(), dispatch.sendBeforeMillis());
        context.ports
                .dispatch(claim.request().withDeadlineMillis(deadlineMillis))
                .whenComplete((outcome, failure) ->
                        context.serviceThread.post(now -> onDispatched(dispatch.requestId(), claim, outcome, now)));
    }

    private void onDispatched(String id, PendingClaim claim, RequestOutcome outcome, long nowMillis) {
        Optional<TargetResponse> whole =
                outcome.response().filter(answer -> answer.stream().isEmpty());
        if (whole.isPresent()) {
            step(AnswerRecorded.of(claim.key(), StoredAnswer.of(whole.get())), nowMillis);
        } else if (outcome.verdict().kind() == VerdictKind.NOT_RUN) {
            step(DispatchAbandoned.of(claim.key()), nowMillis);
        } else {
            UncertaintyReason reason = outcome.verdict().uncertainty().orElse(UncertaintyReason.CLAIMED_EARLIER);
            step(OutcomeUnknown.of(claim.key(), reason), nowMillis);
        }
        complete(id, outcome);
    }

    private void onCancelled(String id, long nowMillis) {
        if (pending.containsKey(id)) {
            step(RequestCancelled.of(id), nowMillis);
        }
    }

    private void complete(String id, RequestOutcome outcome) {
        PendingClaim claim = pending.remove(id);
        if (claim != null) {
            claim.outcome().complete(outcome);
        }
    }

    private void sendHandOver(HandOverReady ready) {
        if (nextOwner.equals(context.self)) {
            return;
        }
        List<HandedOverClaim> claims = ready.handOver().claims();
        for (int from = 0; from < claims.size(); from += MAX_CLAIMS_PER_HAND_OVER) {
            int to = Math.min(claims.size(), from + MAX_CLAIMS_PER_HAND_OVER);
            context.ports.handOver(nextOwner, HandOver.of(shardNumber, claims.subList(from, to)));
        }
    }

    private void report(ClaimAction action) {
        if (action instanceof OwnershipGained gained) {
            ownedEpoch = gained.epoch();
            context.metrics.count("trefoilpost.claims.ownership", "gained");
            LOG.debug(LogEvent.of("shard-gained").with("shard", shardNumber).with("epoch", gained.epoch()));
        } else if (action instanceof OwnershipLost lost) {
            context.metrics.count("trefoilpost.claims.ownership", "lost");
            LOG.debug(LogEvent.of("shard-lost").with("shard", shardNumber).with("epoch", lost.epoch()));
        } else if (action instanceof StoreRestored restored) {
            context.metrics.count("trefoilpost.claims.alarms", "store-restored");
            LOG.warn(LogEvent.of("shard-journal-older")
                    .with("shard", shardNumber)
                    .with("foundEpoch", restored.foundEpoch())
                    .with("knownEpoch", restored.knownEpoch()));
        } else if (action instanceof JournalRefused refused) {
            context.metrics.count("trefoilpost.claims.alarms", "journal-refused");
            LOG.error(LogEvent.of("shard-journal-unreadable")
                    .with("key", refused.storeKey())
                    .with("fault", refused.fault()));
        }
    }

    private static RequestFingerprint fingerprint(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(request.pool().text().getBytes(StandardCharsets.UTF_8));
            return RequestFingerprint.of(request.method(), request.path(), digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Creates the runners of an entry, which share what they work with.
     */
    static final class Factory {
        private final EntryId self;
        private final long incarnation;
        private final ClaimSettings limits;
        private final KeyValueStore store;
        private final ClaimPorts ports;
        private final EntryMetrics metrics;
        private final ServiceThread<Consumer<Long>> serviceThread;

        Factory(
                EntryId self,
                long incarnation,
                ClaimSettings limits,
                KeyValueStore store,
                ClaimPorts ports,
                EntryMetrics metrics,
                ServiceThread<Consumer<Long>> duty) {
            this.self = self;
            this.incarnation = incarnation;
            this.limits = limits;
            this.store = store;
            this.ports = ports;
            this.metrics = metrics;
            this.serviceThread = duty;
        }

        ShardRunner create(int shard) {
            return new ShardRunner(shard, this);
        }
    }
}
