package org.trefoilpost.decision.job.team;

import java.util.Objects;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * What a team uses of a pool and waits for.
 *
 * @param weight  the team's weight, greater than 0
 * @param use  the resources of its runs, not null
 * @param waiting  the resources of its tasks that could start, not null
 */
public record TeamDemand(double weight, ResourceAmount use, ResourceAmount waiting) {
    /**
     * Constructs a demand.
     */
    public TeamDemand {
        Objects.requireNonNull(use, "use");
        Objects.requireNonNull(waiting, "waiting");
    }

    ResourceAmount total() {
        return use.plus(waiting);
    }
}
