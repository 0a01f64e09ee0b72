package org.trefoilpost.decision.planner;

import java.util.Objects;

/**
 * The expected durations of the phases in which a worker is out of service.
 */
public final class WaveEstimates {
    /** The estimates that apply unless others are configured: 5 minutes to drain, 5 minutes to reboot. */
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
     * Returns how long it takes to shift a worker to another pool.
     *
     * @return the minutes
     */
    public double shiftMinutes() {
        return drainMinutes;
    }

    /**
     * Returns how long it takes to maintain a worker: drain and reboot.
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
