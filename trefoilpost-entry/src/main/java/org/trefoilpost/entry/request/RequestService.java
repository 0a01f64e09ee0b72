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
 * The duty that carries requests to workers. Its methods may be called from any thread.
 */
public final class RequestService implements AutoCloseable {
    private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofSeconds(1);

    private final ServiceThread<RequestEvent> serviceThread;
    private final RequestDispatcher dispatcher;

    private RequestService(ServiceThread<RequestEvent> duty, RequestDispatcher desk) {
        this.serviceThread = duty;
        this.dispatcher = desk;
    }

    /**
     * Starts the duty.
     *
     * @param context  what the duty works with, not null
     * @param ringCapacity  the most requests that wait for the duty's thread, at least 2
     * @param clock  the clock, not null
     * @return the duty, not null
     */
    public static RequestService start(RequestContext context, int ringCapacity, MillisClock clock) {
        ServiceThread<RequestEvent> duty = ServiceThread.of("requests", ringCapacity, clock);
        RequestDispatcher desk = new RequestDispatcher(context, duty);
        duty.start((event, nowMillis) -> event.apply(desk, nowMillis));
        duty.post(RequestDispatcher::refreshLoads);
        return new RequestService(duty, desk);
    }

    /**
     * Carries a request to a worker of its pool.
     *
     * <p>A cancelled future tells that the caller no longer waits.
     *
     * @param request  the request, not null
     * @return the outcome, not null; never fails
     */
    public CompletableFuture<RequestOutcome> submit(CallerRequest request) {
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        if (!serviceThread.offer((state, nowMillis) -> state.submit(request, outcome, nowMillis))) {
            outcome.complete(RequestOutcome.of(Verdict.notRun(RefusalReason.RING_FULL, QUEUE_FULL_RETRY_AFTER)));
        }
        return outcome;
    }

    /**
     * Puts a configuration in force.
     *
     * @param configuration  the configuration, not null
     */
    public void configure(Configuration configuration) {
        serviceThread.post((state, nowMillis) -> state.configure(configuration, nowMillis));
    }

    /**
     * Replaces the workers of every pool.
     *
     * @param members  the workers by pool, not null
     */
    public void replaceWorkers(Map<PoolName, ? extends Collection<Worker>> members) {
        serviceThread.post((state, nowMillis) -> state.replaceWorkers(members, nowMillis));
    }

    /**
     * Merges a register of leaving workers.
     *
     * @param register  the register, not null
     */
    public void mergeLeaving(LeavingRegister register) {
        serviceThread.post((state, nowMillis) -> state.mergeLeaving(register, nowMillis));
    }

    /**
     * Takes in what a peer told of its load.
     *
     * @param entry  the peer, not null
     * @param loads  the load by pool, not null
     * @param teams  the requests of each team, not null
     */
    public void recordPeerLoads(EntryId entry, List<EntryPoolLoad> loads, Map<TeamName, Integer> teams) {
        serviceThread.post((state, nowMillis) -> state.recordPeerLoads(entry, loads, teams, nowMillis));
    }

    /**
     * Returns the load of a moment ago.
     *
     * @return the load, not null
     */
    public LoadSnapshot loads() {
        return dispatcher.loads();
    }

    /**
     * Returns the attempts of this entry in flight, by worker.
     *
     * @return the attempts at workers that have any, not null
     */
    public CompletableFuture<Map<WorkerId, Integer>> attemptsInFlight() {
        CompletableFuture<Map<WorkerId, Integer>> answer = new CompletableFuture<>();
        serviceThread.post((state, nowMillis) -> answer.complete(state.attemptsInFlight()));
        return answer;
    }

    /**
     * Returns the number of requests without a verdict, as last seen by the duty's thread.
     *
     * @return the number, not negative
     */
    public int pendingRequests() {
        return dispatcher.pendingRequests();
    }

    /**
     * Returns the workers that failed enough to be ejected, as seen by the duty's thread.
     *
     * @return the workers, not null
     */
    public CompletableFuture<Set<WorkerId>> ejectedWorkers() {
        CompletableFuture<Set<WorkerId>> answer = new CompletableFuture<>();
        serviceThread.post((state, nowMillis) -> answer.complete(state.ejectedWorkers()));
        return answer;
    }

    /**
     * Ends the duty's thread.
     */
    @Override
    public void close() {
        serviceThread.close();
    }
}
