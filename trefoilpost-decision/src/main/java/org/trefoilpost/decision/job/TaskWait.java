package org.trefoilpost.decision.job;

/**
 * A long-running task that does not run.
 *
 * @param task  the task, not null
 * @param millis  the time since the task was last known to run, or since it could first start, in milliseconds
 * @param reason  why it does not run, not null
 */
record TaskWait(JobTaskState task, long millis, WaitReason reason) {}
