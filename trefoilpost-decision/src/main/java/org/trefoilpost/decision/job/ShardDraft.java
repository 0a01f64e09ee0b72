package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.WorkerId;

/**
 * The changes of one write of a shard: events are applied to the document as saved, and can be applied again to another.
 */
final class ShardDraft {
    /** The time that a grant reaches ahead before the task was seen to run, in milliseconds. */
    static final long START_GRANT_MILLIS = 25_000;
    /** The time that an extended grant reaches ahead, so that tasks outlast an outage of the store, in milliseconds. */
    static final long GRANT_MILLIS = 180_000;
    /** The time after the end of a grant in which a delayed call may still run the task, in milliseconds. */
    static final long FENCE_MARGIN_MILLIS = 15_000;

    private static final long START_EXTENSION_MILLIS = 15_000;
    private static final long EXTENSION_MILLIS = 150_000;
    private static final int MAX_FAILED_WORKERS = 3;
    private static final int MAX_OPEN_JOBS = 1_000;
    private static final int MAX_ENDED_JOBS = 500;
    private static final long KEEP_ENDED_MILLIS = 24L * 3_600 * 1_000;

    private final Map<JobId, Job> jobs;
    private final JobPlacer placer;
    private final JobFleet fleet;
    private final long nowMillis;
    private final List<JobAction> answers = new ArrayList<>();
    private final List<JobAction> notices = new ArrayList<>();

    ShardDraft(JobDocument saved, JobPlacer placer, JobFleet fleet, long nowMillis) {
        this.jobs = new TreeMap<>(saved.jobs());
        this.placer = placer;
        this.fleet = fleet;
        this.nowMillis = nowMillis;
    }

    JobDocument document() {
        return JobDocument.of(jobs);
    }

    /** Returns what callers are told once the draft is saved. */
    List<JobAction> answers() {
        return answers;
    }

    /** Returns what other shards and the operators are told, whether or not the draft is saved. */
    List<JobAction> notices() {
        return notices;
    }

    void apply(JobEvent event) {
        if (event instanceof JobSubmitted submitted) {
            submit(submitted.spec());
        } else if (event instanceof JobsCancelled cancelled) {
            cancelled.jobs().stream().sorted().forEach(this::cancel);
        } else if (event instanceof PreemptionRequested requested) {
            Optional.ofNullable(jobs.get(requested.job())).ifPresent(this::preempt);
        } else if (event instanceof TaskReported reported) {
            Job job = jobs.get(reported.job());
            if (job != null && isPresent(job, reported)) {
                report(job, reported);
            }
        }
    }

    /** Frees the jobs whose grant ended so long ago that nothing can run them, once their worker was asked. */
    void expire(Predicate<Job> asked) {
        for (Job job : List.copyOf(jobs.values())) {
            boolean ended = job.lease()
                    .filter(lease -> nowMillis >= lease.untilMillis() + FENCE_MARGIN_MILLIS)
                    .isPresent();
            if (ended && asked.test(job)) {
                release(job, "the lease lapsed");
            }
        }
    }

    /** Extends the grants of the tasks in contact, all at once when the first of them needs it. */
    void extend(Predicate<Job> inContact) {
        List<Job> extended = jobs.values().stream()
                .filter(job -> job.lease().isPresent() && job.phase() != JobPhase.STOPPING && inContact.test(job))
                .toList();
        boolean due = extended.stream()
                .anyMatch(job -> needsExtension(job.lease().orElseThrow().untilMillis() - nowMillis));
        if (due) {
            extended.forEach(job ->
                    put(job.withLease(job.lease().map(lease -> lease.withUntilMillis(nowMillis + GRANT_MILLIS)))));
        }
    }

    private static boolean needsExtension(long leftMillis) {
        boolean startGrant = leftMillis <= START_GRANT_MILLIS;
        return leftMillis < (startGrant ? START_EXTENSION_MILLIS : EXTENSION_MILLIS);
    }

    /** Places the waiting jobs. */
    void place(String executor) {
        List<Job> waiting = jobs.values().stream()
                .filter(job -> job.phase() == JobPhase.WAITING)
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        List<JobTask> tasks = new ArrayList<>(fleet.otherTasks());
        jobs.values().forEach(job -> task(job).ifPresent(tasks::add));
        Placement placement = placer.place(waiting, tasks, fleet, nowMillis);
        placement.starts().forEach((id, worker) -> lease(jobs.get(id), worker, executor));
        placement.refusals().forEach((id, cause) -> put(end(jobs.get(id), JobPhase.FAILED, cause)));
        for (JobId id : placement.preemptions()) {
            if (jobs.containsKey(id)) {
                preempt(jobs.get(id));
            } else {
                notices.add(RequestPreemption.of(id));
            }
        }
        placement.late().forEach(id -> notices.add(WarnDeadline.of(id)));
    }

    /** Drops jobs that ended long ago, and the oldest of too many. */
    void prune() {
        jobs.values().removeIf(job -> isEnded(job) && nowMillis - job.sinceMillis() > KEEP_ENDED_MILLIS);
        List<Job> ended = jobs.values().stream()
                .filter(ShardDraft::isEnded)
                .sorted(Comparator.comparing(Job::sinceMillis))
                .toList();
        int surplus = Math.max(0, ended.size() - MAX_ENDED_JOBS);
        ended.subList(0, surplus).forEach(job -> jobs.remove(job.spec().id()));
    }

    static boolean isEnded(Job job) {
        return job.phase() == JobPhase.DONE || job.phase() == JobPhase.FAILED || job.phase() == JobPhase.CANCELLED;
    }

    /** Returns the task that a job's lease stands for. */
    static Optional<JobTask> task(Job job) {
        return job.lease().map(lease -> JobTask.of(job.spec(), lease.worker(), job.phase() != JobPhase.LEASED));
    }

    private void submit(JobSpec spec) {
        Job known = jobs.get(spec.id());
        if (known != null) {
            boolean same = known.spec().equals(spec);
            answer(
                    spec.id(),
                    same ? JobAnswerKind.REPEATED : JobAnswerKind.CONFLICTING,
                    same ? "" : "id: another job has the name " + spec.id());
            return;
        }
        Optional<String> refusal = refusal(spec);
        if (refusal.isPresent()) {
            answer(spec.id(), JobAnswerKind.REFUSED, refusal.get());
            return;
        }
        put(Job.of(spec, JobPhase.WAITING, 0, Optional.empty(), Optional.empty(), Set.of(), "", nowMillis));
        answer(spec.id(), JobAnswerKind.ACCEPTED, "");
    }

    private Optional<String> refusal(JobSpec spec) {
        if (!fleet.pools().containsKey(spec.pool())) {
            return Optional.of("pool: no pool is named " + spec.pool());
        }
        if (!fleet.quotas().containsKey(spec.team())) {
            return Optional.of("team: no team is named " + spec.team());
        }
        long open = jobs.values().stream().filter(job -> !isEnded(job)).count();
        if (open >= MAX_OPEN_JOBS) {
            return Optional.of("id: the shard of this job holds " + open + " jobs that have not ended; retry later");
        }
        return placer.neverFits(spec, fleet);
    }

    private void cancel(JobId id) {
        Job job = jobs.get(id);
        if (job == null) {
            answer(id, JobAnswerKind.UNKNOWN, "");
        } else if (isEnded(job) && job.phase() != JobPhase.CANCELLED) {
            answer(id, JobAnswerKind.ENDED, job.phase().code());
        } else {
            if (job.lease().isPresent()) {
                put(job.withPhase(JobPhase.STOPPING));
            } else if (job.phase() == JobPhase.WAITING) {
                put(end(job, JobPhase.CANCELLED, "cancelled"));
            }
            answer(id, JobAnswerKind.CANCELLED, "");
        }
    }

    private void preempt(Job job) {
        if (job.phase() == JobPhase.LEASED && job.spec().isCheckpointable()) {
            put(job.withPhase(JobPhase.CHECKPOINTING).withCause("preempted"));
        }
    }

    private static boolean isPresent(Job job, TaskReported reported) {
        return job.lease()
                .filter(lease ->
                        lease.epoch() == reported.epoch() && lease.worker().equals(reported.worker()))
                .isPresent();
    }

    private void report(Job job, TaskReported reported) {
        switch (reported.outcome()) {
            case DONE ->
                put(
                        job.phase() == JobPhase.STOPPING
                                ? end(job, JobPhase.CANCELLED, "cancelled")
                                : end(job, JobPhase.DONE, ""));
            case FAILED -> fail(job, reported.worker());
            case CHECKPOINTED ->
                release(job.withCheckpoint(Optional.of(reported.checkpoint())), "resumes from its saved progress");
            case LAPSED -> release(job, "the lease lapsed");
            case STOPPED, STALE, ABSENT, NOT_STARTED -> release(job, "the task ended on its worker");
            default -> {}
        }
    }

    private void fail(Job job, WorkerId worker) {
        Set<WorkerId> failed = new HashSet<>(job.failedWorkers());
        if (!placer.blame().isBlamed(worker)) {
            failed.add(worker);
        }
        Job counted = job.withFailedWorkers(failed);
        if (failed.size() >= MAX_FAILED_WORKERS || failedEverywhere(counted)) {
            put(end(counted, JobPhase.FAILED, "failed on " + failed.size() + " workers, the last " + worker));
        } else {
            release(counted, "failed on " + worker);
        }
        if (job.phase() == JobPhase.STOPPING) {
            put(end(counted, JobPhase.CANCELLED, "cancelled"));
        }
    }

    private boolean failedEverywhere(Job job) {
        List<JobWorker> pool = fleet.pools().getOrDefault(job.spec().pool(), List.of());
        return !pool.isEmpty()
                && pool.stream().allMatch(worker -> job.failedWorkers().contains(worker.id()));
    }

    private void lease(Job job, JobWorker worker, String executor) {
        long epoch = job.epoch() + 1;
        JobLease lease =
                JobLease.of(worker.id(), worker.incarnation(), epoch, executor, nowMillis + START_GRANT_MILLIS);
        put(job.withPhase(JobPhase.LEASED).withEpoch(epoch).withLease(Optional.of(lease)));
        placer.blame().placed(worker.id(), nowMillis);
    }

    private void release(Job job, String cause) {
        if (job.phase() == JobPhase.STOPPING) {
            put(end(job, JobPhase.CANCELLED, "cancelled"));
        } else {
            put(job.withPhase(JobPhase.WAITING).withLease(Optional.empty()).withCause(cause));
        }
    }

    private Job end(Job job, JobPhase phase, String cause) {
        return job.withPhase(phase)
                .withLease(Optional.empty())
                .withCheckpoint(Optional.empty())
                .withCause(cause)
                .withSinceMillis(nowMillis);
    }

    private void answer(JobId job, JobAnswerKind kind, String detail) {
        answers.add(AnswerJob.of(job, kind, detail));
    }

    private void put(Job job) {
        jobs.put(job.spec().id(), job);
    }
}
