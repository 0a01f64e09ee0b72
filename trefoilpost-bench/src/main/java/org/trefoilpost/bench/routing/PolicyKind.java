package org.trefoilpost.bench.routing;

import java.util.Locale;
import org.trefoilpost.decision.routing.FixedSharePolicy;
import org.trefoilpost.decision.routing.LeastOwnInFlightPolicy;
import org.trefoilpost.decision.routing.RandomPolicy;
import org.trefoilpost.decision.routing.RoundRobinPolicy;
import org.trefoilpost.decision.routing.SelectionPolicy;
import org.trefoilpost.decision.routing.TwoChoicesPolicy;

/**
 * The policies that are compared.
 */
public enum PolicyKind {
    /** The less occupied of two random workers, with the counts of the peers. */
    TWO_CHOICES,
    /** A random worker. */
    RANDOM,
    /** The workers in turn. */
    ROUND_ROBIN,
    /** The worker with the fewest attempts of this entry. */
    LEAST_OWN,
    /** A fixed share of each worker's slots for each entry. */
    FIXED_SHARE;

    /**
     * Returns a policy for one of several entries.
     *
     * @param entries  the number of entries, more than 0
     * @param position  the position of the entry among them, from 0
     * @return the policy, not null
     */
    public SelectionPolicy policy(int entries, int position) {
        switch (this) {
            case RANDOM:
                return new RandomPolicy();
            case ROUND_ROBIN:
                return new RoundRobinPolicy();
            case LEAST_OWN:
                return new LeastOwnInFlightPolicy();
            case FIXED_SHARE:
                return FixedSharePolicy.of(entries, position);
            case TWO_CHOICES:
            default:
                return new TwoChoicesPolicy();
        }
    }

    /**
     * Returns whether the policy uses the counts that peers report.
     *
     * @return true if it does
     */
    public boolean usesPeers() {
        return this == TWO_CHOICES;
    }

    /**
     * Returns the name of this policy in tables.
     *
     * @return the name, not null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
