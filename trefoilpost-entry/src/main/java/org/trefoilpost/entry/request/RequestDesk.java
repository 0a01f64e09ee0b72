package org.trefoilpost.entry.request;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.trefoilpost.entry.target.TargetAnswer;
import org.trefoilpost.entry.target.TargetFailure;
import org.trefoilpost.entry.target.TargetRequest;
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
 * The state of the requests' duty: the requests under way, and the pools they go to. The duty's thread owns it.
 */
final class RequestDesk {
    private static final Duration UNKNOWN_POOL_RETRY_AFTER = Duration.ofSeconds(5);
    private static final long LOADS_INTERVAL_MILLIS = 200;
    private static final String ATTEMPTS = "trefoilpost.attempts";
    private static final String ATTEMPT_FAILURES = "trefoilpost.attempt.failures";
    private static final String RETRIES = "trefoilpost.retries";

    private final RequestContext context;
    private final ServiceThread<RequestEvent> duty;
    private final PoolSet pools;
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private long lastId;
    private long scheduledMillis = Long.MAX_VALUE;
    private volatile int pendingRequests;
    private volatile RequestLoads loads = RequestLoads.NONE;

    RequestDesk(RequestContext context, ServiceThread<RequestEvent> duty) {
        this.context = context;
        this.duty = duty;
        this.pools = new PoolSet(context.dataCentre());
    }

    /**
     * Returns the number of requests without a verdict; may be read from any thread.
     *
     * @return the number, not negative
     */
    int pendingRequests() {
        return pendingRequests;
    }

    /**
     * Returns the load of a moment ago; may be read from any thread.
     *
     * @return the load, not null
     */
    RequestLoads loads() {
        return loads;
    }

    /**
     * Takes note of the present load, now and from time to time.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void noteLoads(long nowMillis) {
        loads = pools.loads(open.values().stream()
                .filter(request -> request.worker() != null)
                .map(request ->
                        Map.entry(request.pool().name(), request.worker().id()))
                .toList());
        duty.schedule(nowMillis + LOADS_INTERVAL_MILLIS, RequestDesk::noteLoads);
    }

    /**
     * Takes in a request.
     *
     * @param request  the request, not null
     * @param outcome  the future to complete, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void arrive(CallerRequest request, CompletableFuture<RequestOutcome> outcome, long nowMillis) {
        if (outcome.isDone()) {
            return;
        }
        Pool pool = pools.inForce(request.pool()).orElse(null);
        if (pool == null) {
            outcome.complete(RequestOutcome.of(Verdict.notRun(RefusalReason.UNKNOWN_POOL, UNKNOWN_POOL_RETRY_AFTER)));
            return;
        }
        long id = ++lastId;
        open.put(id, new OpenRequest(request, pool, outcome));
        outcome.whenComplete((value, failure) -> {
            if (outcome.isCancelled()) {
                duty.post((state, now) -> state.cancelled(id, now));
            }
        });
        run(pool.dispatcher().submit(dispatchRequest(id, request), nowMillis), nowMillis);
    }

    /**
     * Puts a configuration in force.
     *
     * @param configuration  the configuration, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void configure(Configuration configuration, long nowMillis) {
        pools.configure(configuration);
        tick(nowMillis);
    }

    /**
     * Replaces the workers of every pool.
     *
     * @param members  the workers by pool, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void members(Map<PoolName, ? extends Collection<Worker>> members, long nowMillis) {
        for (Pool pool : pools.all()) {
            Collection<Worker> workers = Optional.<Collection<Worker>>ofNullable(members.get(pool.name()))
                    .orElse(List.of());
            pool.members(workers);
            run(pool.dispatcher().replaceWorkers(workers, nowMillis), nowMillis);
        }
    }

    /**
     * Merges a register of leaving workers.
     *
     * @param register  the register, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void leaving(LeavingRegister register, long nowMillis) {
        pools.leaving(register);
        tick(nowMillis);
    }

    /**
     * Takes in what a peer told of its load.
     *
     * @param entry  the peer, not null
     * @param loads  the load by pool, not null
     * @param teams  the requests of each team, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void peerLoads(EntryId entry, List<EntryPoolLoad> loads, Map<TeamName, Integer> teams, long nowMillis) {
        Map<PoolName, EntryPoolLoad> byPool = new HashMap<>();
        loads.forEach(load -> byPool.put(load.pool(), load));
        for (Pool pool : pools.all()) {
            EntryPoolLoad load = byPool.getOrDefault(pool.name(), EntryPoolLoad.of(pool.name(), 0, Map.of()));
            pool.dispatcher().recordPeerLoad(entry, load, nowMillis);
        }
        pools.peerTeams(entry, teams, nowMillis);
        tick(nowMillis);
    }

    /**
     * Returns the attempts in flight by worker.
     *
     * @return the attempts, not null
     */
    Map<WorkerId, Integer> inFlight() {
        Map<WorkerId, Integer> counts = new HashMap<>();
        for (OpenRequest request : open.values()) {
            if (request.worker() != null) {
                counts.merge(request.worker().id(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * Returns the ejected workers.
     *
     * @return the workers, not null
     */
    Set<WorkerId> ejected() {
        Set<WorkerId> ejected = new HashSet<>();
        pools.all().forEach(pool -> ejected.addAll(pool.ejected()));
        return ejected;
    }

    private void cancelled(long id, long nowMillis) {
        OpenRequest request = open.get(id);
        if (request != null) {
            run(request.pool().dispatcher().cancel(id, nowMillis), nowMillis);
            open.remove(id);
            context.metrics().count("trefoilpost.cancelled", "caller-gone");
            pendingRequests = open.size();
        }
    }

    private void tick(long nowMillis) {
        for (Pool pool : pools.all()) {
            run(pool.dispatcher().tick(nowMillis), nowMillis);
        }
        pools.dropIdle();
    }

    private void timer(long nowMillis) {
        scheduledMillis = Long.MAX_VALUE;
        tick(nowMillis);
        schedule();
    }

    private void run(List<DispatchAction> actions, long nowMillis) {
        for (DispatchAction action : actions) {
            run(action, nowMillis);
        }
        pendingRequests = open.size();
        schedule();
    }

    private void run(DispatchAction action, long nowMillis) {
        OpenRequest request = open.get(action.requestId());
        if (request == null) {
            return;
        }
        if (action instanceof StartAttempt start) {
            send(request, start);
        } else if (action instanceof AbandonAttempt) {
            request.abandon();
        } else if (action instanceof DeliverVerdict conclusion) {
            open.remove(action.requestId());
            request.conclude(conclusion.verdict());
        }
    }

    private void send(OpenRequest request, StartAttempt start) {
        context.metrics().count(ATTEMPTS, request.pool().name().text());
        if (start.attempt() > 1) {
            context.metrics().count(RETRIES, request.lastFailure());
        }
        long id = start.requestId();
        CompletableFuture<TargetAnswer> exchange = context.targets().send(targetRequest(request, start));
        request.started(start.worker(), exchange);
        exchange.whenComplete(
                (answer, failure) -> duty.post((state, now) -> state.attemptEnded(id, start, answer, failure, now)));
    }

    private void attemptEnded(long id, StartAttempt start, TargetAnswer answer, Throwable failure, long nowMillis) {
        OpenRequest request = open.get(id);
        if (request == null || !request.isUnderWay(start.worker())) {
            context.metrics().count("trefoilpost.answers.dropped", failure == null ? "late" : "late-failure");
            return;
        }
        if (failure == null) {
            request.ended(answer);
            run(
                    request.pool().dispatcher().attemptEnded(id, start.attempt(), AttemptResults.of(answer), nowMillis),
                    nowMillis);
            return;
        }
        TargetFailure kind = AttemptResults.targetFailure(failure);
        context.metrics().count(ATTEMPT_FAILURES, Codes.of(kind));
        if (kind == TargetFailure.LEAVING) {
            Worker worker = start.worker();
            context.leavingListener().accept(worker.id(), worker.incarnation());
            pools.leaving(LeavingRegister.empty().withWorkerSignal(worker.id(), worker.incarnation()));
        }
        request.failed(Codes.of(kind));
        run(
                request.pool().dispatcher().attemptEnded(id, start.attempt(), AttemptResults.of(failure), nowMillis),
                nowMillis);
    }

    private void schedule() {
        long next = Long.MAX_VALUE;
        for (Pool pool : pools.all()) {
            OptionalLong tick = pool.dispatcher().nextTickMillis();
            next = tick.isPresent() ? Math.min(next, tick.getAsLong()) : next;
        }
        if (next < scheduledMillis) {
            scheduledMillis = next;
            duty.schedule(next, RequestDesk::timer);
        }
    }

    private TargetRequest targetRequest(OpenRequest request, StartAttempt start) {
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
     * A request under way.
     */
    private static final class OpenRequest {
        private final CallerRequest request;
        private final Pool pool;
        private final CompletableFuture<RequestOutcome> outcome;
        private Worker worker;
        private CompletableFuture<TargetAnswer> exchange;
        private TargetAnswer answer;
        private String lastFailure = "none";

        private OpenRequest(CallerRequest request, Pool pool, CompletableFuture<RequestOutcome> outcome) {
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

        private boolean isUnderWay(Worker attempted) {
            return worker == attempted;
        }

        private void started(Worker newWorker, CompletableFuture<TargetAnswer> newExchange) {
            worker = newWorker;
            exchange = newExchange;
        }

        private void ended(TargetAnswer newAnswer) {
            worker = null;
            answer = newAnswer;
        }

        private void failed(String reason) {
            worker = null;
            lastFailure = reason;
        }

        private void abandon() {
            worker = null;
            exchange.cancel(true);
        }

        private void conclude(Verdict verdict) {
            boolean answered = verdict.kind() == VerdictKind.ANSWERED;
            outcome.complete(answered ? RequestOutcome.answered(answer) : RequestOutcome.of(verdict));
        }
    }
}
