package org.trefoilpost.decision.job.team;

import java.util.Objects;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * What a team uses in a pool, and what it holds there.
 *
 * @param use  the use, including runs that no worker has reported yet, not null
 * @param grant  the amount that the pool is certain to hold, not null
 */
public record UseAndGrant(ResourceAmount use, ResourceAmount grant) {
    /**
     * Constructs a pair of amounts.
     */
    public UseAndGrant {
        Objects.requireNonNull(use, "use");
        Objects.requireNonNull(grant, "grant");
    }
}
