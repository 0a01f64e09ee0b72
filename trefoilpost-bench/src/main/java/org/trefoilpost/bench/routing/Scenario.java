package org.trefoilpost.bench.routing;

import java.util.Locale;

/**
 * What happens to the pool while it is measured.
 */
public enum Scenario {
    /** The load is 70 percent of the capacity, and nothing fails. */
    STEADY(0.7),
    /** The load equals the capacity. */
    CAPACITY(1.0),
    /** The load is 70 percent, and one worker takes ten times as long. */
    SLOW_WORKER(0.7),
    /** The load is 70 percent, and one worker fails at once whatever it starts. */
    FAIL_FAST(0.7),
    /** The load is 40 percent, and half of the workers, a rack, go away in the middle. */
    RACK_GONE(0.4),
    /** The load is twice the capacity. */
    TWICE(2.0),
    /** The load equals the capacity, and four of five requests are cancelled at one moment. */
    CANCEL_WAVE(1.0);

    private final double load;

    Scenario(double load) {
        this.load = load;
    }

    /**
     * Returns the load as a share of the capacity of all workers.
     *
     * @return the share, more than 0
     */
    public double load() {
        return load;
    }

    /**
     * Returns the name of this scenario in tables.
     *
     * @return the name, not null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
