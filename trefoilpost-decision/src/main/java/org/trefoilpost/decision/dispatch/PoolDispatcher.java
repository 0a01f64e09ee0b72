package org.trefoilpost.decision.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.trefoilpost.decision.admission.AdmissionQueue;
import org.trefoilpost.decision.admission.AdmissionRequest;
import org.trefoilpost.decision.admission.ConcurrencyShare;
import org.trefoilpost.decision.admission.Refusal;
import org.trefoilpost.decision.membership.EntryPoolLoad;
import org.trefoilpost.decision.retry.Deadline;
import org.trefoilpost.decision.retry.RetryBudget;
import org.trefoilpost.decision.retry.RetryDecision;
import org.trefoilpost.decision.retry.RetryPolicy;
import org.trefoilpost.decision.retry.RetryRequest;
import org.trefoilpost.decision.routing.AttemptOutcome;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.decision.routing.RouteRequest;
import org.trefoilpost.decision.routing.WorkerChoice;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;
import org.trefoilpost.model.worker.Worker;

/**
 * Dispatches the requests of one pool at one entry, from their arrival to their verdict. Confined to one thread.
 *
 * <p>Each request gets exactly one {@link DeliverVerdict}, unless its caller cancels it. The verdict that a request did
 * not run is given only if no attempt may have run it.
 */
public final class PoolDispatcher {
    /** The age at which a peer's reported load expires. */
    private static final long PEER_LOAD_MAX_AGE_MILLIS = 3_000;

    private final DataCentreName ownDataCentre;
    private final PoolRouter router;
    private final AdmissionQueue admission;
    private final RetryPolicy retryPolicy;
    private final RandomGenerator random;
    private final ConcurrencyShare concurrencyShare = ConcurrencyShare.of(PEER_LOAD_MAX_AGE_MILLIS);
    private final Map<EntryId, Set<WorkerId>> peerWorkers = new HashMap<>();
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final TimerQueue retries = new TimerQueue();
    private final TimerQueue deadlines = new TimerQueue();
    private RetryBudget retryBudget;
    /** When the router expects that a worker takes requests again. */
    private long workersChangeMillis = Long.MAX_VALUE;

    PoolDispatcher(PoolDispatcherBuilder builder) {
        this.ownDataCentre = Objects.requireNonNull(builder.ownDataCentre, "ownDataCentre");
        this.router = Objects.requireNonNull(builder.router, "router");
        this.admission = Objects.requireNonNull(builder.admission, "admission");
        this.retryPolicy = builder.retryPolicy;
        this.retryBudget = builder.retryBudget;
        this.random = Objects.requireNonNull(builder.random, "random");
    }

    /**
     * Returns a builder with the default retry policy and budget.
     *
     * @return the builder, not null
     */
    public static PoolDispatcherBuilder builder() {
        return new PoolDispatcherBuilder();
    }

    /**
     * Returns the number of requests without a verdict.
     *
     * @return the number, not negative
     */
    public int pendingRequests() {
        return pending.size();
    }

    /**
     * Returns the router of the pool.
     *
     * @return the router, not null
     */
    public PoolRouter router() {
        return router;
    }

    /**
     * Returns the queue of the pool.
     *
     * @return the queue, not null
     */
    public AdmissionQueue admission() {
        return admission;
    }

    /**
     * Replaces the retry budget.
     *
     * @param budget  the budget, not null
     */
    public void retryBudget(RetryBudget budget) {
        this.retryBudget = Objects.requireNonNull(budget, "budget");
    }

    /**
     * Replaces the pool's workers and starts the queued requests that can start.
     *
     * @param workers  the workers, not null
     * @param nowMillis  the present time in milliseconds
     * @return the actions, not null
     */
    public List<DispatchAction> replaceWorkers(Collection<Worker> workers, long nowMillis) {
        router.replaceWorkers(workers, nowMillis);
        return startQueued(nowMillis);
    }

    /**
     * Merges a register of leaving workers into the router's.
     *
     * @param register  the register, not null
     */
    public void mergeLeaving(LeavingRegister register) {
        router.mergeLeaving(register);
    }

    /**
     * Records a peer's complete load on the pool; a worker that is not in it has no attempts of the peer.
     *
     * @param entry  the peer, not null
     * @param load  the load, not null
     * @param nowMillis  the present time in milliseconds
     */
    public void recordPeerLoad(EntryId entry, EntryPoolLoad load, long nowMillis) {
        Set<WorkerId> before = peerWorkers.getOrDefault(entry, Set.of());
        if (load.inFlight().isEmpty() && load.queued() == 0 && before.isEmpty()) {
            return;
        }
        for (WorkerId worker : before) {
            if (!load.inFlight().containsKey(worker)) {
                router.recordPeerInFlight(entry, worker, 0, nowMillis);
            }
        }
        int inFlight = 0;
        for (Map.Entry<WorkerId, Integer> count : load.inFlight().entrySet()) {
            router.recordPeerInFlight(entry, count.getKey(), count.getValue(), nowMillis);
            inFlight += count.getValue();
        }
        peerWorkers.put(entry, Set.copyOf(load.inFlight().keySet()));
        concurrencyShare.recordPeerLoad(entry, inFlight, load.queued(), nowMillis);
    }

    /**
     * Submits a request, which is queued, started or refused.
     *
     * @param request  the request, not null
     * @param nowMillis  the present time in milliseconds
     * @return the actions, not null
     */
    public List<DispatchAction> submit(DispatchRequest request, long nowMillis) {
        int slots = router.usableSlots(nowMillis);
        if (slots == 0) {
            return List.of(refusal(request.id(), RefusalReason.NO_WORKER));
        }
        admission.limit(concurrencyShare.limit(slots, nowMillis));
        List<DispatchAction> actions = new ArrayList<>();
        pending.put(request.id(), PendingRequest.of(request));
        deadlines.add(request.deadlineMillis(), request.id());
        deliverRefusals(admission.offer(request.admission(), nowMillis), actions);
        actions.addAll(startQueued(nowMillis));
        return actions;
    }

    /**
     * Records the end of an attempt. A result of a request or attempt that is no longer pending is ignored.
     *
     * @param requestId  the id of the request
     * @param attempt  the number of the attempt, from its {@link StartAttempt}
     * @param result  the result, not null
     * @param nowMillis  the present time in milliseconds
     * @return the actions, not null
     */
    public List<DispatchAction> attemptEnded(long requestId, int attempt, AttemptResult result, long nowMillis) {
        PendingRequest request = pending.get(requestId);
        if (request == null || request.choice() == null || request.attempts() != attempt) {
            return List.of();
        }
        long latencyMillis = request.latencyMillis(nowMillis);
        WorkerChoice choice = request.attemptEnded();
        router.attemptEnded(choice, AttemptEnds.outcome(result), latencyMillis, nowMillis);
        List<DispatchAction> actions = new ArrayList<>();
        if (AttemptEnds.isAnswer(result)) {
            admission.recordServiceTime(latencyMillis);
            deliverVerdict(requestId, Verdict.answered(), actions);
        } else {
            request.recordFailure(AttemptEnds.failure(choice.worker(), result));
            decideRetry(request, nowMillis, actions);
        }
        actions.addAll(startQueued(nowMillis));
        return actions;
    }

    /**
     * Cancels a request whose caller no longer waits; it gets no verdict.
     *
     * @param requestId  the id of the request, ignored unless it is pending
     * @param nowMillis  the present time in milliseconds
     * @return the actions, not null
     */
    public List<DispatchAction> cancel(long requestId, long nowMillis) {
        PendingRequest request = pending.remove(requestId);
        if (request == null) {
            return List.of();
        }
        List<DispatchAction> actions = new ArrayList<>();
        if (!admission.cancel(requestId)) {
            abandon(request, nowMillis, actions);
            admission.requestEnded(requestId);
        }
        actions.addAll(startQueued(nowMillis));
        return actions;
    }

    /**
     * Starts due retries and ends requests whose deadline has passed or can no longer be met.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the actions, not null
     */
    public List<DispatchAction> tick(long nowMillis) {
        List<DispatchAction> actions = new ArrayList<>();
        expireOverdue(nowMillis, actions);
        while (retries.nextMillis() <= nowMillis) {
            PendingRequest request = pending.get(retries.poll());
            if (request != null && request.choice() == null) {
                startAttempt(request, nowMillis, actions);
            }
        }
        actions.addAll(startQueued(nowMillis));
        return actions;
    }

    /**
     * Ends every pending request, because the entry stops: a request of which no attempt may have run is refused.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the actions, not null
     */
    public List<DispatchAction> endPending(long nowMillis) {
        List<DispatchAction> actions = new ArrayList<>();
        for (PendingRequest request : List.copyOf(pending.values())) {
            end(request, UncertaintyReason.CONNECTION_LOST, RefusalReason.SHUTTING_DOWN, nowMillis, actions);
        }
        return actions;
    }

    /**
     * Returns when {@link #tick} is next due.
     *
     * @return the time in milliseconds, empty if nothing is pending
     */
    public OptionalLong nextTickMillis() {
        long next = Math.min(retries.nextMillis(), deadlines.nextMillis());
        OptionalLong expiry = admission.nextExpiryMillis();
        if (expiry.isPresent()) {
            next = Math.min(next, expiry.getAsLong());
        }
        if (admission.queued() > 0) {
            next = Math.min(next, workersChangeMillis);
        }
        return next == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(next);
    }

    private List<DispatchAction> startQueued(long nowMillis) {
        List<DispatchAction> actions = new ArrayList<>();
        admission.limit(concurrencyShare.limit(router.usableSlots(nowMillis), nowMillis));
        deliverRefusals(admission.expire(nowMillis), actions);
        Optional<AdmissionRequest> next = admission.poll(nowMillis);
        while (next.isPresent() && startAttempt(pending.get(next.get().id()), nowMillis, actions)) {
            next = admission.poll(nowMillis);
        }
        workersChangeMillis = router.nextChangeMillis(nowMillis);
        return actions;
    }

    /** Starts an attempt of an admitted request, or requeues it; returns whether other requests may be started. */
    private boolean startAttempt(PendingRequest request, long nowMillis, List<DispatchAction> actions) {
        long id = request.request().id();
        RouteRequest route = request.history().routeRequest(ownDataCentre);
        Optional<WorkerChoice> choice = router.choose(route, nowMillis);
        if (choice.isEmpty()) {
            return handleNoFreeWorker(request, actions);
        }
        if (request.attempts() == 0) {
            retryBudget.firstAttempt();
        }
        router.attemptStarted(choice.get());
        request.attemptStarted(choice.get(), nowMillis);
        long timeoutMillis = Math.max(1, request.request().deadlineMillis() - nowMillis - Deadline.HOP_MARGIN_MILLIS);
        actions.add(StartAttempt.of(id, request.attempts(), choice.get().worker(), timeoutMillis));
        return true;
    }

    private boolean handleNoFreeWorker(PendingRequest request, List<DispatchAction> actions) {
        long id = request.request().id();
        if (request.attempts() == 0) {
            admission.requeue(id);
            return false;
        }
        Verdict verdict = request.history()
                .uncertainty()
                .map(Verdict::mayHaveRun)
                .orElseGet(() -> notRun(RefusalReason.WORKERS_REJECTED));
        deliverVerdict(id, verdict, actions);
        return true;
    }

    private void decideRetry(PendingRequest request, long nowMillis, List<DispatchAction> actions) {
        RetryRequest retry = RetryRequest.builder(
                        request.history(), request.request().deadlineMillis())
                .repeatable(request.request().repeatable())
                .serviceMillis(Math.round(router.meanServiceMillis()))
                .retryAfterMillis(admission.retryAfterMillis())
                .build();
        RetryDecision decision = retryPolicy.decide(retry, retryBudget, random, nowMillis);
        if (decision.retryAtMillis().isPresent()) {
            retries.add(decision.retryAtMillis().getAsLong(), request.request().id());
        } else {
            deliverVerdict(request.request().id(), decision.verdict().orElseThrow(), actions);
        }
    }

    private void expireOverdue(long nowMillis, List<DispatchAction> actions) {
        while (deadlines.nextMillis() <= nowMillis) {
            PendingRequest request = pending.get(deadlines.poll());
            if (request != null) {
                end(request, UncertaintyReason.DEADLINE_PASSED, RefusalReason.DEADLINE_UNREACHABLE, nowMillis, actions);
            }
        }
    }

    private void end(
            PendingRequest request,
            UncertaintyReason ifInFlight,
            RefusalReason ifNotSent,
            long nowMillis,
            List<DispatchAction> actions) {
        long id = request.request().id();
        boolean sent = request.choice() != null;
        abandon(request, nowMillis, actions);
        admission.cancel(id);
        Verdict verdict = sent
                ? Verdict.mayHaveRun(ifInFlight)
                : request.history().uncertainty().map(Verdict::mayHaveRun).orElseGet(() -> notRun(ifNotSent));
        deliverVerdict(id, verdict, actions);
    }

    private void abandon(PendingRequest request, long nowMillis, List<DispatchAction> actions) {
        if (request.choice() != null) {
            long latencyMillis = request.latencyMillis(nowMillis);
            router.attemptEnded(request.attemptEnded(), AttemptOutcome.ABANDONED, latencyMillis, nowMillis);
            actions.add(AbandonAttempt.of(request.request().id()));
        }
    }

    private void deliverRefusals(List<Refusal> refusals, List<DispatchAction> actions) {
        for (Refusal refusal : refusals) {
            PendingRequest request = pending.remove(refusal.request().id());
            Verdict verdict = request == null
                    ? refusal.verdict()
                    : request.history().uncertainty().map(Verdict::mayHaveRun).orElse(refusal.verdict());
            actions.add(DeliverVerdict.of(refusal.request().id(), verdict));
        }
    }

    private void deliverVerdict(long id, Verdict verdict, List<DispatchAction> actions) {
        pending.remove(id);
        admission.requestEnded(id);
        actions.add(DeliverVerdict.of(id, verdict));
    }

    private DeliverVerdict refusal(long id, RefusalReason reason) {
        return DeliverVerdict.of(id, notRun(reason));
    }

    private Verdict notRun(RefusalReason reason) {
        return Verdict.notRun(reason, Duration.ofMillis(admission.retryAfterMillis()));
    }
}
