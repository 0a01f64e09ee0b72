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
public final class RequestDuty implements AutoCloseable {
    private static final Duration RING_RETRY_AFTER = Duration.ofSeconds(1);

    private final ServiceThread<RequestEvent> duty;
    private final RequestDesk desk;

    private RequestDuty(ServiceThread<RequestEvent> duty, RequestDesk desk) {
        this.duty = duty;
        this.desk = desk;
    }

    /**
     * Starts the duty.
     *
     * @param context  what the duty works with, not null
     * @param ringCapacity  the most requests that wait for the duty's thread, at least 2
     * @param clock  the clock, not null
     * @return the duty, not null
     */
    public static RequestDuty start(RequestContext context, int ringCapacity, MillisClock clock) {
        ServiceThread<RequestEvent> duty = ServiceThread.of("requests", ringCapacity, clock);
        RequestDesk desk = new RequestDesk(context, duty);
        duty.start((event, nowMillis) -> event.apply(desk, nowMillis));
        duty.post(RequestDesk::noteLoads);
        return new RequestDuty(duty, desk);
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
        if (!duty.offer((state, nowMillis) -> state.arrive(request, outcome, nowMillis))) {
            outcome.complete(RequestOutcome.of(Verdict.notRun(RefusalReason.RING_FULL, RING_RETRY_AFTER)));
        }
        return outcome;
    }

    /**
     * Puts a configuration in force.
     *
     * @param configuration  the configuration, not null
     */
    public void configure(Configuration configuration) {
        duty.post((state, nowMillis) -> state.configure(configuration, nowMillis));
    }

    /**
     * Replaces the workers of every pool.
     *
     * @param members  the workers by pool, not null
     */
    public void members(Map<PoolName, ? extends Collection<Worker>> members) {
        duty.post((state, nowMillis) -> state.members(members, nowMillis));
    }

    /**
     * Merges a register of leaving workers.
     *
     * @param register  the register, not null
     */
    public void leaving(LeavingRegister register) {
        duty.post((state, nowMillis) -> state.leaving(register, nowMillis));
    }

    /**
     * Takes in what a peer told of its load.
     *
     * @param entry  the peer, not null
     * @param loads  the load by pool, not null
     * @param teams  the requests of each team, not null
     */
    public void peerLoads(EntryId entry, List<EntryPoolLoad> loads, Map<TeamName, Integer> teams) {
        duty.post((state, nowMillis) -> state.peerLoads(entry, loads, teams, nowMillis));
    }

    /**
     * Returns the load of a moment ago.
     *
     * @return the load, not null
     */
    public RequestLoads loads() {
        return desk.loads();
    }

    /**
     * Returns the attempts of this entry in flight, by worker.
     *
     * @return the attempts at workers that have any, not null
     */
    public CompletableFuture<Map<WorkerId, Integer>> inFlight() {
        CompletableFuture<Map<WorkerId, Integer>> answer = new CompletableFuture<>();
        duty.post((state, nowMillis) -> answer.complete(state.inFlight()));
        return answer;
    }

    /**
     * Returns the number of requests without a verdict, as last seen by the duty's thread.
     *
     * @return the number, not negative
     */
    public int pendingRequests() {
        return desk.pendingRequests();
    }

    /**
     * Returns the workers that failed enough to be ejected, as seen by the duty's thread.
     *
     * @return the workers, not null
     */
    public CompletableFuture<Set<WorkerId>> ejected() {
        CompletableFuture<Set<WorkerId>> answer = new CompletableFuture<>();
        duty.post((state, nowMillis) -> answer.complete(state.ejected()));
        return answer;
    }

    /**
     * Ends the duty's thread.
     */
    @Override
    public void close() {
        duty.close();
    }
}
