package org.trefoilpost.decision.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers when refused jobs were first handed in, so that one that comes back is not taken for a new one.
 */
final class FirstOffers {
    /** Time in milliseconds after which a caller is not expected back. */
    private static final long FORGET_MILLIS = 30_000;
    /** The most jobs that are remembered; at this size the oldest is forgotten. */
    private static final int MOST = 20_000;

    private final Map<String, Long> offers = new LinkedHashMap<>();

    /**
     * Returns when a job was handed in for the first time, which is now if it is not remembered.
     *
     * @param job  the job's identifier, not null
     * @param nowMillis  the present time on the steady clock
     * @return the time on the steady clock in milliseconds
     */
    long firstMillis(String job, long nowMillis) {
        return offers.getOrDefault(job, nowMillis);
    }

    /**
     * Notes that a job was refused.
     */
    void refused(String job, long nowMillis) {
        offers.putIfAbsent(job, nowMillis);
        Iterator<Long> oldest = offers.values().iterator();
        while (oldest.hasNext()) {
            boolean old = nowMillis - oldest.next() > FORGET_MILLIS;
            if (!old && offers.size() <= MOST) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Forgets a job that was taken.
     */
    void taken(String job) {
        offers.remove(job);
    }
}
