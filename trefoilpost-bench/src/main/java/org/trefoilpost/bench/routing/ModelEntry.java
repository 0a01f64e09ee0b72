package org.trefoilpost.bench.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.trefoilpost.decision.admission.AdmissionQueue;
import org.trefoilpost.decision.admission.AdmissionRequest;
import org.trefoilpost.decision.admission.AdmissionSettings;
import org.trefoilpost.decision.admission.ConcurrencyShare;
import org.trefoilpost.decision.admission.Refusal;
import org.trefoilpost.decision.admission.TeamQuotas;
import org.trefoilpost.decision.retry.AttemptFailure;
import org.trefoilpost.decision.retry.RetryBudget;
import org.trefoilpost.decision.retry.RetryDecision;
import org.trefoilpost.decision.retry.RetryPolicy;
import org.trefoilpost.decision.retry.RetryRequest;
import org.trefoilpost.decision.routing.AttemptOutcome;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.decision.routing.RouterSettings;
import org.trefoilpost.decision.routing.WorkerChoice;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * An entry: admission, routing and retries of one pool over modelled workers.
 */
final class ModelEntry {
    private static final long NETWORK_MILLIS = 1;
    private static final long PARK_MILLIS = 10;
    private static final long PEER_MAX_AGE_MILLIS = 3_000;

    private final EntryId id;
    private final DataCentreName dataCentre;
    private final PoolModel pool;
    private final PolicyKind kind;
    private final int position;
    private final RandomGenerator random;
    private final PoolRouter router;
    private final AdmissionQueue queue;
    private final ConcurrencyShare share = ConcurrencyShare.of(PEER_MAX_AGE_MILLIS);
    private final RetryBudget budget = RetryBudget.ofDefaults();
    private final RetryPolicy retries = RetryPolicy.defaults();
    private final Map<Long, ModelCall> calls = new HashMap<>();

    ModelEntry(PoolModel pool, PolicyKind kind, int position, DataCentreName dataCentre, RandomGenerator random) {
        this.pool = pool;
        this.kind = kind;
        this.position = position;
        this.id = EntryId.of("e" + position);
        this.dataCentre = dataCentre;
        this.random = random;
        this.router = PoolRouter.of(RouterSettings.defaults(), kind.policy(pool.entryCount(), position), random);
        this.queue = AdmissionQueue.of(AdmissionSettings.defaults(), TeamQuotas.of(PEER_MAX_AGE_MILLIS), random);
        router.replaceWorkers(pool.workers(), 0);
    }

    EntryId id() {
        return id;
    }

    int queued() {
        return queue.queued();
    }

    void arrive(ModelCall call) {
        calls.put(call.request().id(), call);
        limit();
        refuse(queue.offer(call.request(), now()));
        pool.time().after(call.request().deadlineMillis() - now(), () -> deadline(call));
        startNext();
    }

    /** Ends calls whose callers went away. */
    void cancel(RandomGenerator chance, double probability) {
        for (ModelCall call : List.copyOf(calls.values())) {
            if (!call.ended() && chance.nextDouble() < probability) {
                call.end();
                if (queue.cancel(call.request().id())) {
                    calls.remove(call.request().id());
                }
            }
        }
        startNext();
    }

    /** Tells the peers what is in flight here. */
    void report() {
        int inFlight = router.ownInFlight();
        int waiting = queue.queued();
        Map<WorkerId, Integer> counts = new HashMap<>();
        pool.workers().forEach(worker -> counts.put(worker.id(), router.ownInFlight(worker.id())));
        for (ModelEntry peer : pool.entries()) {
            if (peer != this) {
                pool.time().after(NETWORK_MILLIS, () -> peer.heard(id, inFlight, waiting, counts));
            }
        }
    }

    private void heard(EntryId peer, int inFlight, int waiting, Map<WorkerId, Integer> counts) {
        share.recordPeerLoad(peer, inFlight, waiting, now());
        counts.forEach((worker, count) -> router.recordPeerInFlight(peer, worker, count, now()));
        startNext();
    }

    private void startNext() {
        limit();
        refuse(queue.expire(now()));
        Optional<AdmissionRequest> next = queue.poll(now());
        while (next.isPresent()) {
            ModelCall call = calls.get(next.get().id());
            if (!dispatch(call)) {
                queue.requeue(next.get().id());
                return;
            }
            next = queue.poll(now());
        }
    }

    private void limit() {
        int slots = router.usableSlots();
        if (kind.usesPeers()) {
            queue.limit(share.limit(slots, now()));
        } else if (kind == PolicyKind.FIXED_SHARE) {
            queue.limit(slots * (position + 1) / pool.entryCount() - slots * position / pool.entryCount());
        } else {
            queue.limit(slots);
        }
    }

    private boolean dispatch(ModelCall call) {
        Optional<WorkerChoice> choice = router.choose(call.history().routeRequest(dataCentre), now());
        if (choice.isEmpty()) {
            boolean retried = !call.history().failures().isEmpty();
            if (retried) {
                pool.time().after(PARK_MILLIS, () -> again(call));
            }
            return retried;
        }
        attempt(call, choice.get());
        return true;
    }

    private void attempt(ModelCall call, WorkerChoice choice) {
        router.attemptStarted(choice);
        if (call.firstAttempt()) {
            budget.firstAttempt();
            pool.attempted(true, choice.worker());
            pool.started(call);
        } else {
            pool.attempted(false, choice.worker());
        }
        long sentMillis = now();
        ModelWorker target = pool.worker(choice.worker().id());
        pool.time()
                .after(
                        NETWORK_MILLIS,
                        () -> target.receive(reply ->
                                pool.time().after(NETWORK_MILLIS, () -> replied(call, choice, reply, sentMillis))));
    }

    private void replied(ModelCall call, WorkerChoice choice, ModelWorker.Reply reply, long sentMillis) {
        long tookMillis = now() - sentMillis;
        router.attemptEnded(choice, outcome(reply), tookMillis, now());
        if (reply == ModelWorker.Reply.ANSWER) {
            queue.recordServiceTime(tookMillis);
        }
        if (call.ended()) {
            release(call);
        } else if (reply == ModelWorker.Reply.ANSWER) {
            call.end();
            pool.answered(call);
            release(call);
        } else {
            failed(call, choice, reply);
        }
        startNext();
    }

    private void failed(ModelCall call, WorkerChoice choice, ModelWorker.Reply reply) {
        boolean notStarted = reply == ModelWorker.Reply.REJECTED;
        if (notStarted) {
            pool.rejected();
        }
        call.history(call.history()
                .plus(
                        notStarted
                                ? AttemptFailure.notStarted(choice.worker())
                                : AttemptFailure.mayHaveRun(choice.worker(), UncertaintyReason.CONNECTION_LOST)));
        RetryRequest request = RetryRequest.builder(
                        call.history(), call.request().deadlineMillis())
                .repeatable(call.repeatable())
                .serviceMillis(Math.round(router.meanServiceMillis()))
                .retryAfterMillis(queue.retryAfterMillis())
                .build();
        RetryDecision decision = retries.decide(request, budget, random, now());
        if (decision.retryAtMillis().isPresent()) {
            pool.time().after(decision.retryAtMillis().getAsLong() - now(), () -> again(call));
        } else {
            giveUp(call, decision.verdict().orElseThrow());
        }
    }

    private void again(ModelCall call) {
        if (call.ended()) {
            release(call);
        } else {
            dispatch(call);
            return;
        }
        startNext();
    }

    private void giveUp(ModelCall call, Verdict verdict) {
        call.end();
        verdict.refusal().ifPresentOrElse(pool::refused, pool::uncertain);
        release(call);
    }

    /** Answers a call whose deadline has come; a running attempt keeps its slot until the worker replies. */
    private void deadline(ModelCall call) {
        startNext();
        if (!call.end()) {
            return;
        }
        if (queue.cancel(call.request().id())) {
            calls.remove(call.request().id());
            pool.refused(RefusalReason.DEADLINE_UNREACHABLE);
        } else {
            pool.uncertain();
        }
    }

    private void release(ModelCall call) {
        queue.requestEnded(call.request().id());
        calls.remove(call.request().id());
    }

    private void refuse(List<Refusal> refusals) {
        for (Refusal refusal : refusals) {
            ModelCall call = calls.remove(refusal.request().id());
            if (call.end()) {
                pool.refused(refusal.reason());
            }
        }
    }

    private long now() {
        return pool.time().nowMillis();
    }

    private static AttemptOutcome outcome(ModelWorker.Reply reply) {
        switch (reply) {
            case ANSWER:
                return AttemptOutcome.ANSWERED;
            case REJECTED:
                return AttemptOutcome.REJECTED;
            case BROKEN:
            default:
                return AttemptOutcome.FAILED;
        }
    }
}
