package org.trefoilpost.decision.job;

import java.util.Locale;
import java.util.Optional;

/**
 * The configuration of a queue of jobs.
 *
 * @param name  the queue's name, not null
 * @param host  the host name in the requests of callers, not null
 * @param prefix  the prefix of the paths of callers' requests, not null
 * @param pool  the pool whose workers run the tasks, not null
 * @param priority  the priority among queues, lower values first
 * @param maxAttempts  the number of failures of a task with which its job fails, positive
 * @param stretch  the time that a job may take, as a multiple of its critical path
 * @param targetMillis  the time that a job may take in addition, in milliseconds
 * @param advice  the placement advice that the queue requires, empty if it requires none, not null
 * @param publicAccess  true if callers need no key of a team
 */
public record QueueConfig(
        String name,
        String host,
        String prefix,
        String pool,
        int priority,
        int maxAttempts,
        double stretch,
        long targetMillis,
        Optional<AdvicePolicy> advice,
        boolean publicAccess) {

    /**
     * Returns the address by which callers know the queue and its jobs, whatever the queue's name is.
     *
     * @return the host name in lower case, and the prefix, not null
     */
    public String address() {
        return host.toLowerCase(Locale.ROOT) + prefix;
    }

    /**
     * The timing of placement advice. Durations outside the range from 0 to {@link #MAX_MILLIS} are limited to it.
     *
     * @param callMillis  the fixed duration of a request, in milliseconds
     * @param perWorkerMillis  the additional duration for each worker named, in milliseconds
     * @param validMillis  how long a ticket is valid, in milliseconds
     */
    public record AdvicePolicy(long callMillis, long perWorkerMillis, long validMillis) {
        /** The longest duration of a policy, one day. */
        public static final long MAX_MILLIS = 86_400_000;

        /**
         * Constructs a policy.
         */
        public AdvicePolicy {
            callMillis = limit(callMillis);
            perWorkerMillis = limit(perWorkerMillis);
            validMillis = limit(validMillis);
        }

        /**
         * Returns how long a request takes.
         *
         * @param workers  the number of workers named, not negative
         * @return the duration in milliseconds, not negative
         */
        public long durationMillis(int workers) {
            return callMillis + perWorkerMillis * workers;
        }

        private static long limit(long millis) {
            return Math.max(0, Math.min(MAX_MILLIS, millis));
        }
    }
}
