package org.trefoilpost.standins.platform;

/**
 * A bucket of calls that fills at a steady rate and holds the calls of one second.
 */
final class RateLimit {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double perSecond;
    private double tokens;
    private long filledAtMillis;

    private RateLimit(double perSecond, long nowMillis) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.filledAtMillis = nowMillis;
    }

    static RateLimit of(double perSecond, long nowMillis) {
        return new RateLimit(perSecond, nowMillis);
    }

    /**
     * Takes a call out of the bucket and says whether one was there; a rate of 0 sets no limit.
     */
    synchronized boolean take(long nowMillis) {
        if (perSecond <= 0) {
            return true;
        }
        long elapsed = Math.max(0, nowMillis - filledAtMillis);
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
        tokens = Math.min(Math.max(1, perSecond), tokens + elapsed * perSecond / MILLIS_PER_SECOND);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
