package org.trefoilpost.bench.membership;

import java.util.Locale;
import org.trefoilpost.decision.membership.AllToAllTopology;
import org.trefoilpost.decision.membership.HeartbeatTopology;
import org.trefoilpost.decision.membership.RingTopology;

/**
 * The manners of surveillance that are compared.
 */
public enum Manner {
    /** Heartbeats from every entry to every other. */
    ALL_TO_ALL,
    /** Heartbeats from every entry to every other, unless another message to it carried one. */
    PIGGYBACK,
    /** Heartbeats to the next two neighbours in a ring. */
    RING;

    private static final int NEIGHBOURS = 2;

    /**
     * Returns who watches whom.
     *
     * @return the surveillance, not null
     */
    public HeartbeatTopology surveillance() {
        return this == RING ? RingTopology.of(NEIGHBOURS) : new AllToAllTopology();
    }

    /**
     * Returns whether other messages carry heartbeats.
     *
     * @return true if they do
     */
    public boolean carried() {
        return this == PIGGYBACK;
    }

    /**
     * Returns the name of this manner in tables.
     *
     * @return the name, not null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
