package org.trefoilpost.decision.job;

/**
 * Something that happened to a shard of jobs.
 */
public sealed interface JobEvent
        permits FleetSeen,
                JobSubmitted,
                JobTick,
                JobsCancelled,
                PreemptionRequested,
                ShardLoaded,
                ShardSaved,
                TaskReported {}
