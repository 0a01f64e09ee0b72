package org.trefoilpost.decision.job;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the parts of a pool's scheduler share.
 */
final class PoolState {
    final String pool;
    final PoolTimeouts timeouts;
    final PoolActions actions;
    final Map<String, JobState> jobs = new LinkedHashMap<>();
    final Map<String, JobState> openJobs = new LinkedHashMap<>();
    final Set<JobState> dirtyJobs = new LinkedHashSet<>();
    final Map<String, PoolWorker> workers = new LinkedHashMap<>();
    final Set<PoolWorker> unresolvedWorkers = new HashSet<>();
    Map<String, QueueConfig> queues = Map.of();
    long registryCompleteMillis = Long.MIN_VALUE;
    int arrivingMachines;
    boolean active;
    boolean placementDue;

    PoolState(String pool, PoolTimeouts bounds, PoolActions actions) {
        this.pool = pool;
        this.timeouts = bounds;
        this.actions = actions;
    }

    void add(JobState job) {
        jobs.put(job.spec.id(), job);
        if (!job.phase.ended()) {
            openJobs.put(job.spec.id(), job);
        }
        placementDue = true;
    }

    /**
     * Notes that a job has changed and is to be stored.
     */
    void markDirty(JobState job, long nowMillis, boolean atOnce) {
        job.markDirty(nowMillis, atOnce);
        dirtyJobs.add(job);
    }

    /**
     * Ends a job: it starts nothing more, and its runs are to be stopped.
     */
    void end(JobState job, JobPhase phase, Moment now) {
        job.phase = phase;
        job.endedWallMillis = now.wallMillis();
        openJobs.remove(job.spec.id());
        markDirty(job, now.steadyMillis(), true);
        actions.logDecision(Decision.of("job-ended")
                .with("job", job.spec.id())
                .with("pool", pool)
                .with("phase", phase.name())
                .with("age", now.steadyMillis() - job.submittedMillis));
    }

    JobTaskState task(String name) {
        return TaskId.parse(name)
                .map(id -> {
                    JobState job = jobs.get(id.job());
                    return job == null ? null : job.task(id);
                })
                .orElse(null);
    }

    /**
     * Returns whether tasks that an earlier owner may have started could still run somewhere out of sight.
     */
    boolean mayHaveUnseenRuns(long nowMillis) {
        return !unresolvedWorkers.isEmpty() || nowMillis < registryCompleteMillis;
    }
}
