package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.team.Caller;

/**
 * Accepts callers' requests, independent of the protocol in which they arrive.
 */
public interface JobIngress {
    /**
     * Finds the queue of a request in the configuration in force.
     *
     * @param host  the host name that the caller sent, not null
     * @param path  the path of the request, not null
     * @return the route, without a queue if none matches or the job in the path is not a valid name, not null
     */
    Route route(String host, String path);

    /**
     * Decides whether a request to a queue is served, by the configuration in force.
     *
     * @param queue  the name of the queue, not null
     * @param key  the key that the caller sent, empty if it sent none that can be read, not null
     * @return the decision, not null
     */
    Access access(String queue, Optional<String> key);

    /**
     * Submits a job, which belongs to the caller's team.
     *
     * @param spec  the job, not null
     * @param caller  the caller, not null
     * @param deadlineMillis  how long the caller waits for the reply, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> submit(JobSpec spec, Caller caller, long deadlineMillis);

    /**
     * Cancels a job.
     *
     * @param queue  the name of the queue, not null
     * @param job  the identifier of the job, not null
     * @param caller  the caller, not null
     * @param deadlineMillis  how long the caller waits for the reply, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> cancel(String queue, String job, Caller caller, long deadlineMillis);

    /**
     * Reads the phase of a job.
     *
     * @param queue  the name of the queue, not null
     * @param job  the identifier of the job, not null
     * @param caller  the caller, not null
     * @param deadlineMillis  how long the caller waits for the reply, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> phase(String queue, String job, Caller caller, long deadlineMillis);

    /**
     * Counts the jobs of a queue that wait.
     *
     * @param queue  the name of the queue, not null
     * @param deadlineMillis  how long the caller waits for the reply, in milliseconds
     * @return the reply, not null
     */
    CompletableFuture<JobReply> queuedJobs(String queue, long deadlineMillis);

    /**
     * Returns whether this entry accepts new connections.
     *
     * @return false before a configuration and the live entries are loaded, and while the entry leaves
     */
    boolean isReady();

    /**
     * Logs a request that was refused before it reached the service.
     *
     * @param reason  the stable reason code, not null
     * @param request  the request's method and path, not null
     */
    void recordRefusal(String reason, String request);

    /**
     * Returns the number of requests that wait for a reply.
     *
     * @return the number, not negative
     */
    int unansweredCount();

    /**
     * Ends the wait of all requests, because this entry ends: each gets its reply at once, and so does each later one. A
     * request that is certainly not carried out is refused as unavailable, any other one is uncertain.
     */
    void endRequests();

    /**
     * The decision whether a request is served.
     *
     * @param refusal  the reply to a request that is not served, empty if it is served, not null
     * @param caller  the caller, not null
     */
    record Access(Optional<JobReply> refusal, Caller caller) {}

    /**
     * The destination of a request.
     *
     * @param configured  true if a configuration is in force
     * @param current  true if the configuration in force was confirmed recently; otherwise the request must be refused as
     *     unavailable, because the queue and the caller's key may have been added or removed
     * @param queue  the name of the queue, empty if no queue matches, not null
     * @param job  the identifier of the job in the path, empty if the path names only the queue, not null
     * @param maxBodyBytes  the maximum size of the body, in bytes
     */
    record Route(boolean configured, boolean current, Optional<String> queue, String job, int maxBodyBytes) {}
}
