package org.trefoilpost.decision.job;

/**
 * Something that a shard of jobs asks its runtime to do.
 */
public sealed interface JobAction permits AnswerJob, CallTask, LoadShard, RequestPreemption, SaveShard, WarnDeadline {}
