package org.trefoilpost.decision.claim;

/**
 * Limits store writes to a rate, with a burst after a pause.
 */
final class TokenBucket {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final long intervalMicros;
    private final long burstMicros;
    private long theoreticalArrivalMicros;

    TokenBucket(double tokensPerSecond, int burst) {
        intervalMicros = Math.max(1, (long) Math.ceil(MICROS_PER_SECOND / tokensPerSecond));
        burstMicros = (burst - 1) * intervalMicros;
    }

    boolean isAvailable(long nowMillis) {
        return nextTokenAtMillis() <= nowMillis;
    }

    long nextTokenAtMillis() {
        return Math.floorDiv(theoreticalArrivalMicros - burstMicros + MICROS_PER_MILLI - 1, MICROS_PER_MILLI);
    }

    boolean tryTake(long nowMillis) {
        if (!isAvailable(nowMillis)) {
            return false;
        }
        theoreticalArrivalMicros = Math.max(theoreticalArrivalMicros, nowMillis * MICROS_PER_MILLI) + intervalMicros;
        return true;
    }
}
