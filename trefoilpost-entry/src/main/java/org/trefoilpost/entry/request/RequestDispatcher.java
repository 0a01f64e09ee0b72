package org.trefoilpost.entry.request;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.dispatch.AbandonAttempt;
import org.trefoilpost.decision.dispatch.DeliverVerdict;
import org.trefoilpost.decision.dispatch.DispatchAction;
import org.trefoilpost.decision.dispatch.DispatchRequest;
import org.trefoilpost.decision.dispatch.StartAttempt;
import org.trefoilpost.decision.membership.EntryPoolLoad;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.entry.log.Codes;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.entry.target.TargetFailure;
import org.trefoilpost.entry.target.TargetRequest;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.Verdict;
import org.trefoilpost.model.verdict.VerdictKind;
import org.trefoilpost.model.worker.Worker;

/**
 * Dispatches requests to the workers of their pools, and keeps the pending requests.
 *
 * <p>Confined to the service thread, except where a method says otherwise.
 */
final class RequestDispatcher {
    private static final Verdict UNKNOWN_POOL = Verdict.notRun(RefusalReason.UNKNOWN_POOL, Duration.ofSeconds(5));
    private static final Verdict STOPPING = Verdict.notRun(RefusalReason.SHUTTING_DOWN, Duration.ofSeconds(1));
    private static final long LOAD_REFRESH_INTERVAL_MILLIS = 200;
    private static final String ATTEMPTS = "trefoilpost.attempts";
    private static final String ATTEMPT_FAILURES = "trefoilpost.attempt.failures";
    private static final String RETRIES = "trefoilpost.retries";

    private final RequestContext context;
    private final ServiceThread<RequestEvent> serviceThread;
    private final PoolSet pools;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private boolean stopping;
    private long lastId;
    private long nextTimerMillis = Long.MAX_VALUE;
    private volatile int pendingRequests;
    private volatile int ejectedCount;
    private volatile LoadSnapshot loads = LoadSnapshot.NONE;

    RequestDispatcher(RequestContext context, ServiceThread<RequestEvent> duty) {
        this.context = context;
        this.serviceThread = duty;
        this.pools = new PoolSet(context.dataCentre());
        context.metrics()
                .gauge("trefoilpost.workers.ejected", "Workers ejected because of their failures", () -> ejectedCount);
    }

    /**
     * Returns the number of requests without a verdict. Safe to call from any thread.
     *
     * @return the number, not negative
     */
    int pendingRequests() {
        return pendingRequests;
    }

    /**
     * Returns the latest load snapshot. Safe to call from any thread.
     *
     * @return the snapshot, which is refreshed periodically, not null
     */
    LoadSnapshot loads() {
        return loads;
    }

    /**
     * Takes a snapshot of the current load, and schedules the next one.
     *
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void refreshLoads(long nowMillis) {
        loads = pools.loads(pending.values().stream()
                .filter(request -> request.worker() != null)
                .map(request ->
                        Map.entry(request.pool().name(), request.worker().id()))
                .toList());
        serviceThread.schedule(nowMillis + LOAD_REFRESH_INTERVAL_MILLIS, RequestDispatcher::refreshLoads);
    }

    /**
     * Submits a request to its pool, unless its outcome is already complete.
     *
     * @param request  the request to dispatch, not null
     * @param outcome  the future to complete with the outcome; cancelling it cancels the request, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void submit(CallerRequest request, CompletableFuture<RequestOutcome> outcome, long nowMillis) {
        if (outcome.isDone()) {
            return;
        }
        Pool pool = stopping ? null : pools.findConfigured(request.pool()).orElse(null);
        if (pool == null) {
            outcome.complete(RequestOutcome.of(stopping ? STOPPING : UNKNOWN_POOL));
            return;
        }
        long id = ++lastId;
        pending.put(id, new PendingRequest(request, pool, outcome));
        outcome.whenComplete((value, failure) -> {
            if (outcome.isCancelled()) {
                serviceThread.post((state, now) -> state.onCancelled(id, now));
            }
        });
        execute(pool.dispatcher().submit(dispatchRequest(id, request), nowMillis), nowMillis);
    }

    /**
     * Ends every pending request with a verdict, and refuses all that are submitted from now on.
     *
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void endPending(long nowMillis) {
        stopping = true;
        for (Pool pool : pools.all()) {
            execute(pool.dispatcher().endPending(nowMillis), nowMillis);
        }
    }

    /**
     * Applies a configuration.
     *
     * @param configuration  the configuration, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void configure(Configuration configuration, long nowMillis) {
        pools.configure(configuration);
        tickPools(nowMillis);
    }

    /**
     * Replaces the workers of every pool.
     *
     * @param workersByPool  the workers of each pool; a pool that is missing has none, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void replaceWorkers(Map<PoolName, ? extends Collection<Worker>> workersByPool, long nowMillis) {
        for (Pool pool : pools.all()) {
            Collection<Worker> workers = Optional.<Collection<Worker>>ofNullable(workersByPool.get(pool.name()))
                    .orElse(List.of());
            pool.replaceWorkers(workers);
            execute(pool.dispatcher().replaceWorkers(workers, nowMillis), nowMillis);
        }
    }

    /**
     * Merges a register of leaving workers into that of every pool.
     *
     * @param register  the leaving workers to add, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void mergeLeaving(LeavingRegister register, long nowMillis) {
        pools.mergeLeaving(register);
        tickPools(nowMillis);
    }

    /**
     * Records the load that a peer reported; pools that it does not report have no load.
     *
     * @param entry  the peer, not null
     * @param loads  the peer's load of each pool, not null
     * @param teams  the number of the peer's requests by team, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void recordPeerLoads(EntryId entry, List<EntryPoolLoad> loads, Map<TeamName, Integer> teams, long nowMillis) {
        Map<PoolName, EntryPoolLoad> byPool = new HashMap<>();
        loads.forEach(load -> byPool.put(load.pool(), load));
        for (Pool pool : pools.all()) {
            EntryPoolLoad load = byPool.getOrDefault(pool.name(), EntryPoolLoad.of(pool.name(), 0, Map.of()));
            pool.dispatcher().recordPeerLoad(entry, load, nowMillis);
        }
        pools.recordPeerTeamRequests(entry, teams, nowMillis);
        tickPools(nowMillis);
    }

    /**
     * Returns the number of attempts in flight at each worker.
     *
     * @return the counts of the workers that have any, not null
     */
    Map<WorkerId, Integer> attemptsInFlight() {
        Map<WorkerId, Integer> counts = new HashMap<>();
        for (PendingRequest request : pending.values()) {
            if (request.worker() != null) {
                counts.merge(request.worker().id(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Returns the workers that a pool's router ejected because of their failures.
     *
     * @return the identifiers of the ejected workers, not null
     */
    Set<WorkerId> ejectedWorkers() {
        return pools.ejectedWorkers();
    }

    private void onCancelled(long id, long nowMillis) {
        PendingRequest request = pending.get(id);
        if (request != null) {
            execute(request.pool().dispatcher().cancel(id, nowMillis), nowMillis);
            pending.remove(id);
            context.metrics().count("trefoilpost.cancelled", "caller-gone");
            pendingRequests = pending.size();
        }
    }

    private void tickPools(long nowMillis) {
        for (Pool pool : pools.all()) {
            execute(pool.dispatcher().tick(nowMillis), nowMillis);
        }
        pools.removeDrained();
        ejectedCount = pools.ejectedCount();
    }

    private void onTimer(long nowMillis) {
        nextTimerMillis = Long.MAX_VALUE;
        tickPools(nowMillis);
        scheduleTimer();
    }

    private void execute(List<DispatchAction> actions, long nowMillis) {
        // Before the actions, so that a caller who has its answer finds the ejections up to it in the metrics.
        ejectedCount = pools.ejectedCount();
        for (DispatchAction action : actions) {
            execute(action, nowMillis);
        }
        pendingRequests = pending.size();
        scheduleTimer();
    }

    private void execute(DispatchAction action, long nowMillis) {
        PendingRequest request = pending.get(action.requestId());
        if (request == null) {
            return;
        }
        if (action instanceof StartAttempt start) {
            startAttempt(request, start);
        } else if (action instanceof AbandonAttempt) {
            request.abandonAttempt();
        } else if (action instanceof DeliverVerdict delivery) {
            pending.remove(action.requestId());
            request.complete(delivery.verdict());
        }
    }

    private void startAttempt(PendingRequest request, StartAttempt start) {
        context.metrics().count(ATTEMPTS, request.pool().name().text());
        if (start.attempt() > 1) {
            context.metrics().count(RETRIES, request.lastFailure());
        }
        long id = start.requestId();
        CompletableFuture<TargetResponse> exchange = context.targets().send(targetRequest(request, start));
        request.attemptStarted(start.worker(), exchange);
        exchange.whenComplete((response, failure) ->
                serviceThread.post((state, now) -> state.onAttemptEnded(id, start, response, failure, now)));
    }

    private void onAttemptEnded(
            long id, StartAttempt start, TargetResponse response, Throwable failure, long nowMillis) {
        PendingRequest request = pending.get(id);
        if (request == null || !request.isAttemptedAt(start.worker())) {
            context.metrics().count("trefoilpost.answers.dropped", failure == null ? "late" : "late-failure");
            return;
        }
        if (failure == null) {
            request.attemptAnswered(response);
            execute(
                    request.pool()
                            .dispatcher()
                            .attemptEnded(id, start.attempt(), AttemptResults.of(response), nowMillis),
                    nowMillis);
            return;
        }
        TargetFailure kind = AttemptResults.targetFailure(failure);
        context.metrics().count(ATTEMPT_FAILURES, Codes.of(kind));
        if (kind == TargetFailure.LEAVING) {
            Worker worker = start.worker();
            context.leavingListener().accept(worker.id(), worker.incarnation());
            pools.mergeLeaving(LeavingRegister.empty().withWorkerSignal(worker.id(), worker.incarnation()));
        }
        request.attemptFailed(Codes.of(kind));
        execute(
                request.pool().dispatcher().attemptEnded(id, start.attempt(), AttemptResults.of(failure), nowMillis),
                nowMillis);
    }

    private void scheduleTimer() {
        long next = pools.nextTickMillis();
        if (next < nextTimerMillis) {
            nextTimerMillis = next;
            serviceThread.schedule(next, RequestDispatcher::onTimer);
        }
    }

    private TargetRequest targetRequest(PendingRequest request, StartAttempt start) {
        CallerRequest caller = request.request();
        return TargetRequest.builder()
                .exchangeId(context.entry() + "-" + start.requestId() + "-" + start.attempt())
                .endpoint(start.worker().endpoint())
                .connectionLimit(request.pool().settings().connectionsPerEntry())
                .method(caller.method())
                .path(caller.path())
                .headers(caller.headers())
                .body(caller.body())
                .timeoutMillis(start.timeoutMillis())
                .build();
    }

    private static DispatchRequest dispatchRequest(long id, CallerRequest request) {
        return DispatchRequest.builder(id, request.pool(), request.deadlineMillis())
                .requestClass(request.requestClass())
                .team(request.team())
                .repeatable(request.repeatable())
                .build();
    }

    /**
     * A request without a verdict, and its current attempt.
     */
    private static final class PendingRequest {
        private final CallerRequest request;
        private final Pool pool;
        private final CompletableFuture<RequestOutcome> outcome;
        private Worker worker;
        private CompletableFuture<TargetResponse> exchange;
        private TargetResponse response;
        private String lastFailure = "none";

        private PendingRequest(CallerRequest request, Pool pool, CompletableFuture<RequestOutcome> outcome) {
            this.request = request;
            this.pool = pool;
            this.outcome = outcome;
        }

        private CallerRequest request() {
            return request;
        }

        private Pool pool() {
            return pool;
        }

        private Worker worker() {
            return worker;
        }

        private String lastFailure() {
            return lastFailure;
        }

        private boolean isAttemptedAt(Worker attempted) {
            return worker == attempted;
        }

        private void attemptStarted(Worker newWorker, CompletableFuture<TargetResponse> newExchange) {
            worker = newWorker;
            exchange = newExchange;
        }

        private void attemptAnswered(TargetResponse newResponse) {
            worker = null;
            response = newResponse;
        }

        private void attemptFailed(String reason) {
            worker = null;
            lastFailure = reason;
        }

        private void abandonAttempt() {
            worker = null;
            exchange.cancel(true);
        }

        private void complete(Verdict verdict) {
            boolean answered = verdict.kind() == VerdictKind.ANSWERED;
            outcome.complete(answered ? RequestOutcome.answered(response) : RequestOutcome.of(verdict));
        }
    }
}
