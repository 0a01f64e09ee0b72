package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Selects the less loaded of two random candidates; this entry may use a fixed share of each worker's slots.
 */
public final class FixedSharePolicy implements SelectionPolicy {
    private final SelectionPolicy selection = new TwoChoicesPolicy();
    private final int entries;
    private final int position;

    private FixedSharePolicy(int entries, int position) {
        this.entries = entries;
        this.position = position;
    }

    /**
     * Obtains a policy for one of several entries, which share the slots of a worker evenly, with at least 1 slot each.
     *
     * @param entries  the number of entries, more than 0
     * @param position  the position of this entry among them, from 0
     * @return the policy, not null
     * @throws IllegalArgumentException if the position is out of range
     */
    public static FixedSharePolicy of(int entries, int position) {
        if (position < 0 || position >= entries) {
            throw new IllegalArgumentException("position " + position + " is out of range for " + entries + " entries");
        }
        return new FixedSharePolicy(entries, position);
    }

    @Override
    public int select(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        return selection.select(candidates, request, random);
    }

    @Override
    public int freeSlots(int slots, int ownInFlight, int peerInFlight) {
        int share = slots * (position + 1) / entries - slots * position / entries;
        return Math.max(1, share) - ownInFlight;
    }
}
