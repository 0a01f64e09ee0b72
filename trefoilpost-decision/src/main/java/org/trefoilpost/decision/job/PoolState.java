package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.trefoilpost.decision.job.team.Teams;

/**
 * The state shared by the parts of a pool's scheduler.
 */
final class PoolState {
    final String pool;
    final PoolTimeouts timeouts;
    final PoolActions actions;
    final Map<String, JobState> jobs = new LinkedHashMap<>();
    final Map<String, JobState> openJobs = new LinkedHashMap<>();
    final Set<JobState> dirtyJobs = new LinkedHashSet<>();
    final Map<String, PoolWorker> workers = new LinkedHashMap<>();
    /** Workers on which runs of an earlier owner may continue, until they report or their lease has expired. */
    final Set<PoolWorker> unresolvedWorkers = new HashSet<>();

    Map<String, QueueConfig> queues = Map.of();
    Teams teams = Teams.NONE;
    TeamGate teamGate = TeamGate.OPEN;
    long registryCompleteMillis = Long.MIN_VALUE;
    /** Until when orders of an earlier owner may be carried out by workers that have not seen this owner's token. */
    long foreignOrdersUntilMillis = Long.MIN_VALUE;

    int arrivingMachines;
    boolean active;
    boolean placementDue;

    PoolState(String pool, PoolTimeouts timeouts, PoolActions actions) {
        this.pool = pool;
        this.timeouts = timeouts;
        this.actions = actions;
    }

    /**
     * Applies the queues and teams of a configuration; a job whose queue it lacks keeps the settings of its queue.
     */
    void configure(Map<String, QueueConfig> newQueues, Teams newTeams) {
        queues = Map.copyOf(newQueues);
        teams = newTeams;
        for (JobState job : openJobs.values()) {
            QueueConfig config = queues.get(job.spec.queue());
            job.queue = config != null ? config : job.queue;
        }
    }

    /**
     * Returns whether the configuration in force sends a queue to this pool.
     */
    boolean isQueueOfPool(String queue) {
        QueueConfig config = queues.get(queue);
        return config != null && config.pool().equals(pool);
    }

    void add(JobState job) {
        jobs.put(job.spec.id(), job);
        if (!job.phase.ended()) {
            openJobs.put(job.spec.id(), job);
        }
        placementDue = true;
    }

    /**
     * Creates the occurrences of the open jobs that have become due.
     */
    void openDueOccurrences(Moment now) {
        for (JobState job : new ArrayList<>(openJobs.values())) {
            int openedBefore = job.nextOccurrence;
            job.openDueOccurrences(now);
            placementDue |= job.nextOccurrence != openedBefore;
        }
    }

    /**
     * Removes a job without a trace; only for one that was never stored.
     */
    void remove(JobState job) {
        jobs.remove(job.spec.id());
        openJobs.remove(job.spec.id());
        dirtyJobs.remove(job);
    }

    /**
     * Returns the number of stored jobs of a queue that are reported as queued. A job whose end is not stored is among them, as its
     * callers do not know of the end.
     */
    int countQueuedJobs(String queue) {
        int count = 0;
        for (JobState job : jobs.values()) {
            count += job.stored
                            && job.reportedPhase() == JobPhase.QUEUED
                            && job.spec.queue().equals(queue)
                    ? 1
                    : 0;
        }
        return count;
    }

    /**
     * Records that a worker has said that it began a task, by its answer to a start or by listing a run or the end of one. Neither
     * an order that was sent nor a missing answer says so.
     */
    void taskBegan(TaskId task, PoolWorker worker, long nowMillis) {
        JobState job = jobs.get(task.job());
        if (job == null || job.begun) {
            return;
        }
        job.begun = true;
        if (!job.phase.ended()) {
            job.phase = job.openPhase();
            markDirty(job, nowMillis, false);
        }
        actions.logDecision(Decision.of("job-begun")
                .with("job", task.job())
                .with("task", task.text())
                .with("worker", worker.id)
                .with("age", nowMillis - job.submittedMillis));
    }

    /**
     * Marks a job as changed, to be stored with the next commit if {@code urgent}, else within a short delay.
     */
    void markDirty(JobState job, long nowMillis, boolean urgent) {
        job.markDirty(nowMillis, urgent);
        dirtyJobs.add(job);
    }

    /**
     * Ends a job, which then starts no more tasks. The caller stops its runs.
     */
    void end(JobState job, JobPhase phase, Moment now) {
        job.phase = phase;
        job.endedWallMillis = now.wallMillis();
        openJobs.remove(job.spec.id());
        job.openOccurrences().forEach(occurrence -> Stream.of(occurrence.steps).forEach(step -> step.advice.clear()));
        markDirty(job, now.steadyMillis(), true);
        long ageMillis = now.steadyMillis() - job.submittedMillis;
        actions.logDecision(Decision.of("job-ended")
                .with("job", job.spec.id())
                .with("queue", job.spec.queue())
                .with("pool", pool)
                .with("phase", phase.name())
                .with("how", outcome(job, ageMillis))
                .with("age", ageMillis)
                .with("objective", job.objectiveMillis.orElse(-1)));
    }

    /**
     * Returns how a job ended against the objective with which this owner accepted it, for the log and the metrics.
     */
    private static String outcome(JobState job, long ageMillis) {
        if (job.phase != JobPhase.COMPLETED) {
            return "not-completed";
        }
        if (job.objectiveMillis.isEmpty()) {
            return "without-objective";
        }
        return ageMillis <= job.objectiveMillis.getAsLong() ? "in-time" : "late";
    }

    /**
     * Forgets the runs that only the store names on a worker, because the worker has reported its runs or they have ended.
     */
    void forgetUnreportedRuns(PoolWorker worker) {
        for (JobDocumentCodec.RunLocation run : worker.unreportedRuns) {
            JobTaskState task = task(run.task().text());
            if (task != null) {
                task.unreportedRuns.remove(run);
            }
        }
        worker.unreportedRuns = List.of();
    }

    /**
     * Returns the workers that may have runs of which the store does not know after all changed jobs are stored: those on which tasks
     * may start from then on, and those on which runs of an earlier owner may continue.
     */
    List<RegisteredWorker> workersWithUnstoredRuns() {
        return workers.values().stream()
                .filter(worker -> worker.listed || unresolvedWorkers.contains(worker))
                .map(worker -> worker.registration)
                .toList();
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
     * Returns whether a run of a task may be started now: it has none, and none that an earlier owner started may continue unseen.
     */
    boolean mayStart(JobTaskState task, long nowMillis) {
        boolean noUnseenRun = !task.mayHaveUnseenRun || !mayHaveUnseenRuns(nowMillis);
        return noUnseenRun && task.isStartable(nowMillis);
    }

    /**
     * Returns whether runs that an earlier owner started may continue on workers that have not reported yet.
     */
    boolean mayHaveUnseenRuns(long nowMillis) {
        return !unresolvedWorkers.isEmpty() || nowMillis < registryCompleteMillis;
    }
}
