package org.trefoilpost.decision.job;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records when refused jobs were first submitted, so that the objective of a resubmitted job counts from then.
 */
final class FirstSubmissions {
    /** Time after which a refused caller is no longer expected to retry. */
    private static final long RETENTION_MILLIS = 30_000;
    /** The maximum number of jobs recorded; beyond it the oldest is removed. */
    private static final int MAX_JOBS = 20_000;

    private final Map<String, Long> firstSubmittedMillis = new LinkedHashMap<>();
    private final Set<String> withinRate = new HashSet<>();

    /**
     * Returns when a job was first submitted, which is the present time if no refusal is recorded.
     *
     * @param job  the job's identifier, not null
     * @param nowMillis  the present time on the steady clock
     * @return the time on the steady clock in milliseconds
     */
    long firstSubmittedMillis(String job, long nowMillis) {
        return firstSubmittedMillis.getOrDefault(job, nowMillis);
    }

    /**
     * Returns whether a refusal of a job is recorded.
     */
    boolean isRecorded(String job) {
        return firstSubmittedMillis.containsKey(job);
    }

    /**
     * Records that a job was refused, and removes expired records.
     */
    void recordRefusal(String job, long nowMillis) {
        firstSubmittedMillis.putIfAbsent(job, nowMillis);
        Iterator<Map.Entry<String, Long>> entries =
                firstSubmittedMillis.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> oldest = entries.next();
            boolean expired = nowMillis - oldest.getValue() > RETENTION_MILLIS;
            if (!expired && firstSubmittedMillis.size() <= MAX_JOBS) {
                return;
            }
            withinRate.remove(oldest.getKey());
            entries.remove();
        }
    }

    /**
     * Records that a refused job was within the rate of its team, so that its resubmissions are too.
     */
    void markWithinRate(String job) {
        if (firstSubmittedMillis.containsKey(job)) {
            withinRate.add(job);
        }
    }

    /**
     * Returns whether a refused job was within the rate of its team.
     */
    boolean isWithinRate(String job) {
        return withinRate.contains(job);
    }

    /**
     * Removes a job that was accepted.
     */
    void remove(String job) {
        firstSubmittedMillis.remove(job);
        withinRate.remove(job);
    }
}
