package org.trefoilpost.decision.routing;

import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Policy that limits this entry's attempts at a worker to the connections that the entry may hold to it.
 */
public final class ConnectionLimitPolicy implements SelectionPolicy {
    private final SelectionPolicy policy;
    private final IntSupplier maxConnections;

    private ConnectionLimitPolicy(SelectionPolicy policy, IntSupplier connections) {
        this.policy = policy;
        this.maxConnections = connections;
    }

    /**
     * Obtains a policy that adds the limit to another policy.
     *
     * @param policy  the policy that selects and whose own limit also applies, not null
     * @param connections  supplies the current limit of connections to one worker, not null
     * @return the policy, not null
     */
    public static ConnectionLimitPolicy of(SelectionPolicy policy, IntSupplier connections) {
        return new ConnectionLimitPolicy(
                Objects.requireNonNull(policy, "policy"), Objects.requireNonNull(connections, "connections"));
    }

    @Override
    public int select(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        return policy.select(candidates, request, random);
    }

    @Override
    public int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        int free = policy.freeSlots(slots, ownInFlight, peerInFlight);
        return Math.min(free, maxConnections.getAsInt() - ownInFlight);
    }
}
