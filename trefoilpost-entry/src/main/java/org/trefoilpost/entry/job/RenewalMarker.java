package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;

/**
 * The value with which a claim holder's renewals mark the counter key of its pool. A counter key with it shows that no other entry has
 * claimed the pool since the renewal.
 */
final class RenewalMarker {
    private static final String PREFIX = "renewal:";

    private RenewalMarker() {}

    /**
     * Returns the marker of a renewal.
     *
     * @param firstToken  the fencing token of the holder's first claim
     * @param number  the number of the renewal
     */
    static String of(long firstToken, long number) {
        return prefix(firstToken) + number;
    }

    /**
     * Returns whether a renewal of a holder was the last to write the counter key.
     *
     * @param firstToken  the fencing token of the holder's first claim
     */
    static boolean marks(StorePort.Item counter, long firstToken) {
        return new String(counter.value(), StandardCharsets.UTF_8).startsWith(prefix(firstToken));
    }

    private static String prefix(long firstToken) {
        return PREFIX + firstToken + ':';
    }
}
