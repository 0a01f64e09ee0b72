package org.trefoilpost.decision.routing;

import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Policy that gives a worker no more of this entry's attempts than the entry may hold connections to it.
 */
public final class ConnectionLimitPolicy implements SelectionPolicy {
    private final SelectionPolicy policy;
    private final IntSupplier maxConnections;

    private ConnectionLimitPolicy(SelectionPolicy policy, IntSupplier connections) {
        this.policy = policy;
        this.maxConnections = connections;
    }

    /**
     * Obtains a policy.
     *
     * @param policy  the policy that selects, not null
     * @param connections  the most connections to a worker, as they are at present, not null
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
