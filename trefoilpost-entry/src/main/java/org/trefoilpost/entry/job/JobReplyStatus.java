package org.trefoilpost.entry.job;

/**
 * What a caller is told of its request.
 */
public enum JobReplyStatus {
    /** The request is carried out. */
    DONE,
    /** The job was not taken and never runs; the pool is overloaded or cannot run it. */
    REJECTED,
    /** The request was not carried out; the service is not ready for it. */
    UNAVAILABLE,
    /** It is not known whether the request was or will be carried out. */
    UNCERTAIN,
    /** There is no such queue. */
    NO_QUEUE,
    /** There is no such job. */
    NO_JOB,
    /** The request makes no sense. */
    MALFORMED
}
