package org.trefoilpost.decision.job;

import java.util.Optional;

/**
 * What the configuration says of a queue of jobs.
 *
 * @param name  the queue's name, not null
 * @param host  the host name that callers send, not null
 * @param prefix  what the paths of callers' requests begin with, not null
 * @param pool  the pool whose workers run the tasks, not null
 * @param priority  the rank among queues, the lowest first
 * @param attempts  how often a task may fail before its job fails, positive
 * @param stretch  how many times its chain of work a job may take
 * @param targetMillis  what a job may take on top of that, in milliseconds
 * @param advice  the advice to ask for before a placement, empty if the queue needs none, not null
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
        Optional<AdvicePolicy> advice) {

    /**
     * How placement advice is given.
     *
     * @param decideMillis  the time of a call in milliseconds
     * @param eachMillis  the further time for each worker named, in milliseconds
     * @param validMillis  how long a ticket is valid, in milliseconds
     */
    public record AdvicePolicy(long callMillis, long perWorkerMillis, long validMillis) {}
}
