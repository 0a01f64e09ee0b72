package org.trefoilpost.decision.wave;

import java.time.Duration;
import java.util.Objects;

/**
 * The timeouts of a step's phases and the number of attempts after which the step is set aside.
 */
public final class StepLimits {
    /** The limits that apply where the configuration has none. */
    public static final StepLimits DEFAULT = new StepLimits(
            Duration.ofMinutes(30), Duration.ofMinutes(30), Duration.ofMinutes(10), Duration.ofMinutes(15), 3);

    private final long admitTimeoutMillis;
    private final long drainTimeoutMillis;
    private final long stopTimeoutMillis;
    private final long rebootTimeoutMillis;
    private final int maxAttempts;

    private StepLimits(Duration admit, Duration drain, Duration stop, Duration reboot, int maxAttempts) {
        this.admitTimeoutMillis = admit.toMillis();
        this.drainTimeoutMillis = drain.toMillis();
        this.stopTimeoutMillis = stop.toMillis();
        this.rebootTimeoutMillis = reboot.toMillis();
        this.maxAttempts = maxAttempts;
    }

    /**
     * Obtains limits.
     *
     * @param admit  how long a step waits for its pool's ledger to admit the stop, not null
     * @param drain  how long a worker may have work in flight after its cordon, not null
     * @param stop  how long a graceful stop may take, not null
     * @param reboot  how long a reboot may take, and then again the probe after it, not null
     * @param maxAttempts  the attempts of a step in total, if failures reduce its pool below the budget, at least 1
     * @return the limits, not null
     */
    public static StepLimits of(Duration admit, Duration drain, Duration stop, Duration reboot, int maxAttempts) {
        Objects.requireNonNull(admit, "admit");
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("attempts must be at least 1: " + maxAttempts);
        }
        return new StepLimits(admit, drain, stop, reboot, maxAttempts);
    }

    /**
     * Returns the maximum number of attempts of a step, the first one included.
     *
     * @return the number of attempts, at least 1
     */
    public int maxAttempts() {
        return maxAttempts;
    }

    /**
     * Returns how long a step may stay in a phase.
     *
     * <p>The phases cordon, checkpoint and drain share one limit, which counts from the cordon. Phases that only write
     * documents or return a worker to service have no limit.
     *
     * @param phase  the phase, not null
     * @return the limit in milliseconds, {@code Long.MAX_VALUE} if there is none
     */
    public long timeoutMillis(StepPhase phase) {
        switch (phase) {
            case ADMIT:
                return admitTimeoutMillis;
            case CORDON:
            case CHECKPOINT:
            case DRAIN:
                return drainTimeoutMillis;
            case STOP:
                return stopTimeoutMillis;
            case REBOOT:
            case PROBE:
                return rebootTimeoutMillis;
            default:
                return Long.MAX_VALUE;
        }
    }
}
