package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.WorkerId;

/**
 * Finds the workers that fail everything they start, and keeps jobs away from them but for probes.
 *
 * <p>At most half of a pool is kept from jobs, so a kind of job that fails everywhere cannot close a pool.
 */
public final class WorkerBlame {
    private static final int MIN_DISTINCT_JOBS = 3;
    private static final long PROBE_INTERVAL_MILLIS = 60_000;
    private static final long REJECTION_PAUSE_MILLIS = 5_000;

    private final Map<WorkerId, Record> records = new HashMap<>();

    /**
     * Takes in that a job failed on a worker.
     *
     * @param worker  the worker, not null
     * @param job  the job, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    public void failed(WorkerId worker, JobId job, long nowMillis) {
        Record kept = records.computeIfAbsent(worker, id -> new Record());
        kept.failedJobs.add(job);
        kept.probeAtMillis = nowMillis + PROBE_INTERVAL_MILLIS;
    }

    /**
     * Takes in that a job finished on a worker.
     *
     * @param worker  the worker, not null
     */
    public void finished(WorkerId worker) {
        records.remove(worker);
    }

    /**
     * Takes in that a worker rejected a start.
     *
     * @param worker  the worker, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    public void rejected(WorkerId worker, long nowMillis) {
        records.computeIfAbsent(worker, id -> new Record()).pausedUntilMillis = nowMillis + REJECTION_PAUSE_MILLIS;
    }

    /**
     * Returns whether a worker has failed several jobs and finished none since.
     *
     * @param worker  the worker, not null
     * @return true if it is to blame for failures
     */
    public boolean isBlamed(WorkerId worker) {
        Record kept = records.get(worker);
        return kept != null && kept.failedJobs.size() >= MIN_DISTINCT_JOBS;
    }

    /**
     * Returns the workers of a pool that take no jobs now.
     *
     * @param pool  the pool's usable workers, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the workers, not null
     */
    public Set<WorkerId> closed(Collection<JobWorker> pool, long nowMillis) {
        List<WorkerId> blamed = pool.stream()
                .map(JobWorker::id)
                .filter(this::isBlamed)
                .sorted((a, b) -> records.get(b).failedJobs.size()
                        - records.get(a).failedJobs.size())
                .limit(pool.size() / 2)
                .filter(worker -> records.get(worker).probeAtMillis > nowMillis)
                .toList();
        Set<WorkerId> closed = new HashSet<>(blamed);
        closed.addAll(pool.stream()
                .map(JobWorker::id)
                .filter(worker -> records.containsKey(worker) && records.get(worker).pausedUntilMillis > nowMillis)
                .collect(Collectors.toSet()));
        return closed;
    }

    /**
     * Takes in that a job was placed on a worker; a probe of a blamed worker is one job at a time.
     *
     * @param worker  the worker, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    public void placed(WorkerId worker, long nowMillis) {
        Record kept = records.get(worker);
        if (kept != null) {
            kept.probeAtMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        }
    }

    private static final class Record {
        private final Set<JobId> failedJobs = new HashSet<>();
        private long probeAtMillis;
        private long pausedUntilMillis;
    }
}
