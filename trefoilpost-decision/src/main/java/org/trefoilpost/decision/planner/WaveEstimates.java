package org.trefoilpost.decision.planner;

import java.util.Objects;

/**
 * How long a worker is expected to be out of service.
 */
public final class WaveEstimates {
    /** The estimates used where the configuration names none. */
    public static final WaveEstimates DEFAULT = new WaveEstimates(5, 5);

    private final double drainMinutes;
    private final double rebootMinutes;

    private WaveEstimates(double drainMinutes, double rebootMinutes) {
        this.drainMinutes = drainMinutes;
        this.rebootMinutes = rebootMinutes;
    }

    /**
     * Obtains estimates.
     *
     * @param drainMinutes  the minutes from the cordon until nothing is in flight
     * @param rebootMinutes  the minutes from the stop until the worker takes work again
     * @return the estimates, not null
     */
    public static WaveEstimates of(double drainMinutes, double rebootMinutes) {
        return new WaveEstimates(drainMinutes, rebootMinutes);
    }

    /**
     * Returns how long a shift to another pool takes.
     *
     * @return the minutes
     */
    public double shiftMinutes() {
        return drainMinutes;
    }

    /**
     * Returns how long the maintenance of a worker takes.
     *
     * @return the minutes
     */
    public double maintenanceMinutes() {
        return drainMinutes + rebootMinutes;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof WaveEstimates other
                && other.drainMinutes == drainMinutes
                && other.rebootMinutes == rebootMinutes;
    }

    @Override
    public int hashCode() {
        return Objects.hash(drainMinutes, rebootMinutes);
    }

    /**
     * Returns both estimates.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "drain " + drainMinutes + " min, reboot " + rebootMinutes + " min";
    }
}
