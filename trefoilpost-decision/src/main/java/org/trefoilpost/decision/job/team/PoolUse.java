package org.trefoilpost.decision.job.team;

import java.util.Map;
import java.util.Objects;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * What the teams use in a pool at one time.
 *
 * @param teams  the use of the known runs by team, not null
 * @param free  the free capacity of the workers that accept work, not null
 * @param unansweredCapacity  the capacity of the workers that may have runs of an earlier owner that they have not reported,
 *     very large if not all of these workers are known, not null
 */
public record PoolUse(Map<String, TeamUse> teams, ResourceAmount free, ResourceAmount unansweredCapacity) {
    /** The capacity of workers that are not known; sums of many do not overflow. */
    public static final ResourceAmount UNKNOWN_CAPACITY = new ResourceAmount(1L << 50, 1L << 50, 1L << 50);

    /**
     * Constructs a use with a copy of the map.
     */
    public PoolUse {
        teams = Map.copyOf(teams);
        Objects.requireNonNull(free, "free");
        Objects.requireNonNull(unansweredCapacity, "unansweredCapacity");
    }
}
