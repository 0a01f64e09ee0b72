package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.JobSpec;

/**
 * Takes callers' requests from whatever speaks their protocol.
 */
public interface JobIngress {
    /**
     * Finds the queue of a request in the configuration in force.
     *
     * @param host  the host name that the caller sent, not null
     * @param path  the path, not null
     * @return the route, not null
     */
    Route route(String host, String path);

    /**
     * Hands in a job.
     *
     * @param spec  the job, not null
     * @param deadlineMillis  how long the caller waits, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> submit(JobSpec spec, long deadlineMillis);

    /**
     * Cancels a job.
     *
     * @param queue  the queue, not null
     * @param job  the job, not null
     * @param deadlineMillis  how long the caller waits, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> cancel(String queue, String job, long deadlineMillis);

    /**
     * Asks for the phase of a job.
     *
     * @param queue  the queue, not null
     * @param job  the job, not null
     * @param deadlineMillis  how long the caller waits, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> phase(String queue, String job, long deadlineMillis);

    /**
     * Asks how many jobs of a queue wait.
     *
     * @param queue  the queue, not null
     * @param deadlineMillis  how long the caller waits, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> queuedJobs(String queue, long deadlineMillis);

    /**
     * Returns whether new connections are welcome.
     *
     * @return true if they are
     */
    boolean isReady();

    /**
     * Takes note of a request that was refused before it reached the service.
     *
     * @param reason  the stable reason, not null
     * @param request  the request's method and path, not null
     */
    void recordRefusal(String reason, String request);

    /**
     * Where a request goes.
     *
     * @param configured  true if a configuration is in force
     * @param queue  the name of the queue, empty if no queue matches, not null
     * @param job  the job in the path, without text if the path names the queue alone, not null
     * @param maxBodyBytes  the most bytes that the body may have
     */
    record Route(boolean configured, Optional<String> queue, String job, int maxBodyBytes) {}
}
