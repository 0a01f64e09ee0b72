package org.trefoilpost.entry.request;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.membership.EntryPoolLoad;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.Verdict;
import org.trefoilpost.model.worker.Worker;

/**
 * Dispatches callers' requests to workers on a thread of its own. Safe for use by many threads.
 */
public final class RequestService implements AutoCloseable {
    private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofSeconds(1);

    private final ServiceThread<RequestEvent> serviceThread;
    private final RequestDispatcher dispatcher;

    private RequestService(ServiceThread<RequestEvent> duty, RequestDispatcher dispatcher) {
        this.serviceThread = duty;
        this.dispatcher = dispatcher;
    }

    /**
     * Starts the service and its thread.
     *
     * @param context  the identity and the collaborators of the service, not null
     * @param queueCapacity  the maximum number of requests that wait for the service thread, at least 2
     * @param clock  the clock for deadlines and timers, not null
     * @return the running service, not null
     */
    public static RequestService start(RequestContext context, int queueCapacity, MillisClock clock) {
        ServiceThread<RequestEvent> duty = ServiceThread.of("requests", queueCapacity, clock);
        RequestDispatcher dispatcher = new RequestDispatcher(context, duty);
        duty.start((event, nowMillis) -> event.apply(dispatcher, nowMillis));
        duty.post(RequestDispatcher::refreshLoads);
        return new RequestService(duty, dispatcher);
    }

    /**
     * Dispatches a request to a worker of its pool.
     *
     * <p>Cancelling the future cancels the request. If the service thread's queue is full, the request is refused.
     *
     * @param request  the request to dispatch, not null
     * @return the future outcome, which never completes exceptionally unless it is cancelled, not null
     */
    public CompletableFuture<RequestOutcome> submit(CallerRequest request) {
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        if (!serviceThread.offer((state, nowMillis) -> state.submit(request, outcome, nowMillis))) {
            outcome.complete(RequestOutcome.of(Verdict.notRun(RefusalReason.RING_FULL, QUEUE_FULL_RETRY_AFTER)));
        }
        return outcome;
    }

    /**
     * Applies a configuration.
     *
     * @param configuration  the configuration, not null
     */
    public void configure(Configuration configuration) {
        serviceThread.post((state, nowMillis) -> state.configure(configuration, nowMillis));
    }

    /**
     * Replaces the workers of every pool.
     *
     * @param workersByPool  the workers of each pool; a pool that is missing has none, not null
     */
    public void replaceWorkers(Map<PoolName, ? extends Collection<Worker>> workersByPool) {
        serviceThread.post((state, nowMillis) -> state.replaceWorkers(workersByPool, nowMillis));
    }

    /**
     * Merges a register of leaving workers into that of every pool.
     *
     * @param register  the leaving workers to add, not null
     */
    public void mergeLeaving(LeavingRegister register) {
        serviceThread.post((state, nowMillis) -> state.mergeLeaving(register, nowMillis));
    }

    /**
     * Records the load that a peer reported; pools that it does not report have no load.
     *
     * @param entry  the peer, not null
     * @param loads  the peer's load of each pool, not null
     * @param teams  the number of the peer's requests by team, not null
     */
    public void recordPeerLoads(EntryId entry, List<EntryPoolLoad> loads, Map<TeamName, Integer> teams) {
        serviceThread.post((state, nowMillis) -> state.recordPeerLoads(entry, loads, teams, nowMillis));
    }

    /**
     * Returns the latest load snapshot.
     *
     * @return the snapshot, which is refreshed periodically, not null
     */
    public LoadSnapshot loads() {
        return dispatcher.loads();
    }

    /**
     * Returns the number of attempts that this entry has in flight at each worker.
     *
     * @return the future counts of the workers that have any, not null
     */
    public CompletableFuture<Map<WorkerId, Integer>> attemptsInFlight() {
        CompletableFuture<Map<WorkerId, Integer>> result = new CompletableFuture<>();
        serviceThread.post((state, nowMillis) -> result.complete(state.attemptsInFlight()));
        return result;
    }

    /**
     * Returns the number of requests without a verdict, as last published by the service thread.
     *
     * @return the number, not negative
     */
    public int pendingRequests() {
        return dispatcher.pendingRequests();
    }

    /**
     * Returns the workers that were ejected because of their failures.
     *
     * @return the future identifiers of the ejected workers, not null
     */
    public CompletableFuture<Set<WorkerId>> ejectedWorkers() {
        CompletableFuture<Set<WorkerId>> result = new CompletableFuture<>();
        serviceThread.post((state, nowMillis) -> result.complete(state.ejectedWorkers()));
        return result;
    }

    /**
     * Ends every pending request with a verdict, because the entry stops; requests submitted later are refused.
     */
    public void endPending() {
        serviceThread.post(RequestDispatcher::endPending);
    }

    /**
     * Stops the service thread.
     */
    @Override
    public void close() {
        serviceThread.close();
    }
}
