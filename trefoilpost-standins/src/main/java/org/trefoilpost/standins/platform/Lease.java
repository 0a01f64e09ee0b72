package org.trefoilpost.standins.platform;

/**
 * A lease on which keys hang until it lapses.
 */
final class Lease {
    private final long ttlMillis;
    private final long endMillis;

    private Lease(long ttlMillis, long endMillis) {
        this.ttlMillis = ttlMillis;
        this.endMillis = endMillis;
    }

    static Lease of(long ttlMillis, long nowMillis) {
        return new Lease(ttlMillis, nowMillis + ttlMillis);
    }

    Lease renewed(long nowMillis) {
        return of(ttlMillis, nowMillis);
    }

    long ttlMillis() {
        return ttlMillis;
    }

    boolean hasLapsed(long nowMillis) {
        return nowMillis >= endMillis;
    }
}
