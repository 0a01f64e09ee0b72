package org.trefoilpost.decision.job.team;

import java.util.Objects;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * The configuration of a team.
 *
 * @param name  the team's name, not null
 * @param weight  the team's share of a full pool relative to other teams, which is also the number of jobs a second that
 *     it is entitled to submit, greater than 0
 * @param cap  the resources that the team's tasks may use at the same time over all pools; a component of 0 is not
 *     limited, not null
 */
public record TeamConfig(String name, double weight, ResourceAmount cap) {
    /**
     * Constructs a configuration and checks its values.
     *
     * @throws IllegalArgumentException if the weight is not greater than 0 or a component of the cap is negative
     */
    public TeamConfig {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(cap, "cap");
        if (!(weight > 0)) {
            throw new IllegalArgumentException("the weight of team " + name + " must be greater than 0, not " + weight);
        }
        if (cap.cpuMillis() < 0 || cap.memoryMb() < 0 || cap.accelerators() < 0) {
            throw new IllegalArgumentException("the cap of team " + name + " must not be negative: " + cap);
        }
    }

    /**
     * Returns whether the team's use of any resource is limited.
     *
     * @return true if a component of the cap is greater than 0
     */
    public boolean isLimited() {
        return !cap.equals(ResourceAmount.NONE);
    }
}
