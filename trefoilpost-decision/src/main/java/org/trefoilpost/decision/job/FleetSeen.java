package org.trefoilpost.decision.job;

import java.util.Objects;

/**
 * The fleet as seen has changed.
 */
public final class FleetSeen implements JobEvent {
    private final JobFleet fleet;

    private FleetSeen(JobFleet fleet) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
    }

    /**
     * Obtains the value.
     *
     * @param fleet  the fleet, not null
     * @return the value, not null
     */
    public static FleetSeen of(JobFleet fleet) {
        return new FleetSeen(fleet);
    }

    /**
     * Returns the fleet.
     *
     * @return the fleet, not null
     */
    public JobFleet fleet() {
        return fleet;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "FleetSeen " + fleet;
    }
}
