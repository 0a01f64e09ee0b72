package org.trefoilpost.entry.job;

/**
 * The status of a caller's request.
 */
public enum JobReplyStatus {
    /** The request has been carried out. */
    DONE,
    /** The job was not accepted and will not run; the pool is overloaded or has no worker that the job fits. */
    REJECTED,
    /** The request was not carried out; the service is not ready for it. */
    UNAVAILABLE,
    /** It is not known whether the request was or will be carried out. */
    UNCERTAIN,
    /** The request was not carried out; it needs the key of a team. */
    UNAUTHENTICATED,
    /** The request was not carried out; the job belongs to another team. */
    FORBIDDEN,
    /** There is no such queue. */
    NO_QUEUE,
    /** There is no such job. */
    NO_JOB,
    /** The request is malformed. */
    MALFORMED
}
