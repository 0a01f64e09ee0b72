package org.trefoilpost.standins.platform;

import java.util.OptionalLong;

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
        this.tokens = Math.max(1, perSecond);
        this.filledAtMillis = nowMillis;
    }

    static RateLimit of(double perSecond, long nowMillis) {
        return new RateLimit(perSecond, nowMillis);
    }

    /**
     * Takes a call out of the bucket, or returns the whole seconds until one is there; a rate of 0 sets no limit.
     */
    synchronized OptionalLong take(long nowMillis) {
        if (perSecond <= 0) {
            return OptionalLong.empty();
        }
        long elapsed = Math.max(0, nowMillis - filledAtMillis);
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
        tokens = Math.min(Math.max(1, perSecond), tokens + elapsed * perSecond / MILLIS_PER_SECOND);
        if (tokens < 1) {
            return OptionalLong.of((long) Math.ceil((1 - tokens) / perSecond));
        }
        tokens--;
        return OptionalLong.empty();
    }
}
