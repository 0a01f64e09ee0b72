package org.trefoilpost.decision.job;

/**
 * What is known of a run.
 */
enum RunPhase {
    /** The start was sent and not answered yet. */
    STARTING,
    /** The start had no answer; it may have been carried out, or may be later. */
    UNCONFIRMED,
    /** The worker has confirmed the run. */
    RUNNING,
    /** A stop was decided; the run's end is not listed yet. */
    STOPPING
}
