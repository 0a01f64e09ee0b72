package org.trefoilpost.decision.claim;

/**
 * Limits store writes to a rate, with a burst after a pause.
 */
final class TokenBucket {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final long intervalMicros;
    private final long burstMicros;
    private long emptyUntilMicros;

    TokenBucket(double tokensPerSecond, int burst) {
        intervalMicros = Math.max(1, (long) Math.ceil(MICROS_PER_SECOND / tokensPerSecond));
        burstMicros = (burst - 1) * intervalMicros;
    }

    boolean isAvailable(long nowMillis) {
        return nextAtMillis() <= nowMillis;
    }

    long nextAtMillis() {
        return Math.floorDiv(emptyUntilMicros - burstMicros + MICROS_PER_MILLI - 1, MICROS_PER_MILLI);
    }

    boolean tryTake(long nowMillis) {
        if (!isAvailable(nowMillis)) {
            return false;
        }
        emptyUntilMicros = Math.max(emptyUntilMicros, nowMillis * MICROS_PER_MILLI) + intervalMicros;
        return true;
    }
}
