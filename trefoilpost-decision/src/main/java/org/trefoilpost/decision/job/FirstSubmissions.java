package org.trefoilpost.decision.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers when refused jobs were first handed in, so that one that comes back is not taken for a new one.
 */
final class FirstSubmissions {
    /** Time in milliseconds after which a caller is not expected back. */
    private static final long RETENTION_MILLIS = 30_000;
    /** The most jobs that are remembered; at this size the oldest is forgotten. */
    private static final int MAX_JOBS = 20_000;

    private final Map<String, Long> firstSubmittedMillis = new LinkedHashMap<>();

    /**
     * Returns when a job was handed in for the first time, which is now if it is not remembered.
     *
     * @param job  the job's identifier, not null
     * @param nowMillis  the present time on the steady clock
     * @return the time on the steady clock in milliseconds
     */
    long firstSubmittedMillis(String job, long nowMillis) {
        return firstSubmittedMillis.getOrDefault(job, nowMillis);
    }

    /**
     * Notes that a job was refused.
     */
    void recordRefusal(String job, long nowMillis) {
        firstSubmittedMillis.putIfAbsent(job, nowMillis);
        Iterator<Long> oldest = firstSubmittedMillis.values().iterator();
        while (oldest.hasNext()) {
            boolean old = nowMillis - oldest.next() > RETENTION_MILLIS;
            if (!old && firstSubmittedMillis.size() <= MAX_JOBS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Forgets a job that was taken.
     */
    void remove(String job) {
        firstSubmittedMillis.remove(job);
    }
}
