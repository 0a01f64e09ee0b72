package org.trefoilpost.decision.wave;

import java.time.Duration;
import java.util.Objects;

/**
 * How long the phases of a step may take before the step is set aside.
 */
public final class StepLimits {
    /** The limits used where the configuration names none. */
    public static final StepLimits DEFAULT = new StepLimits(
            Duration.ofMinutes(30), Duration.ofMinutes(30), Duration.ofMinutes(10), Duration.ofMinutes(15), 3);

    private final long admitTimeoutMillis;
    private final long drainTimeoutMillis;
    private final long stopTimeoutMillis;
    private final long rebootTimeoutMillis;
    private final int maxAttempts;

    private StepLimits(Duration admit, Duration drain, Duration stop, Duration reboot, int attempts) {
        this.admitTimeoutMillis = admit.toMillis();
        this.drainTimeoutMillis = drain.toMillis();
        this.stopTimeoutMillis = stop.toMillis();
        this.rebootTimeoutMillis = reboot.toMillis();
        this.maxAttempts = attempts;
    }

    /**
     * Obtains limits.
     *
     * @param admit  how long a step waits for its pool's ledger, not null
     * @param drain  how long a cordoned worker may have work in flight, not null
     * @param stop  how long a graceful stop may take, not null
     * @param reboot  how long a reboot may take, and a probe after it, not null
     * @param attempts  how often a step is begun in all when failures undo it, at least 1
     * @return the limits, not null
     */
    public static StepLimits of(Duration admit, Duration drain, Duration stop, Duration reboot, int attempts) {
        Objects.requireNonNull(admit, "admit");
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts must be at least 1: " + attempts);
        }
        return new StepLimits(admit, drain, stop, reboot, attempts);
    }

    /**
     * Returns how often a step is begun in all when failures undo it.
     *
     * @return the attempts, at least 1
     */
    public int maxAttempts() {
        return maxAttempts;
    }

    /**
     * Returns how long a step may stay in a phase.
     *
     * <p>The time of a drain runs from the cordon. Phases that only write documents or free a worker have no limit.
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
