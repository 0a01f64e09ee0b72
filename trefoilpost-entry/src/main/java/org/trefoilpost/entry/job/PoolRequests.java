package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolScheduler;
import org.trefoilpost.decision.job.SubmitResult;

/**
 * Carries out the requests of callers to a pool that this entry owns. Replies that depend on what the store holds wait for it.
 * Used on the service's thread only.
 */
final class PoolRequests {
    /** The reply to a submission whose queue belongs to another pool, whose owner is to decide on it. */
    static final JobReply MOVED = JobReply.of(JobReplyStatus.UNAVAILABLE, "queue-moved");

    private final PoolRunner owner;
    private final JobContext context;
    private final PoolScheduler scheduler;
    private final PoolStore store;
    private final ConfigurationGuard configurationGuard;
    private final Runnable tickSoon;
    private final AwaitedReplies awaitedReplies = new AwaitedReplies();

    /**
     * Constructs the requests to a pool.
     *
     * @param tickSoon  schedules the commit that a reply waits for
     */
    PoolRequests(
            PoolRunner owner,
            JobContext context,
            PoolScheduler scheduler,
            PoolStore store,
            ConfigurationGuard configurationGuard,
            Runnable tickSoon) {
        this.owner = owner;
        this.context = context;
        this.scheduler = scheduler;
        this.store = store;
        this.configurationGuard = configurationGuard;
        this.tickSoon = tickSoon;
    }

    /**
     * Returns whether the configuration in force sends a queue to another pool than the configuration by which a request of
     * the queue was sent here, or does not have the queue any more.
     */
    boolean isMovedSince(QueueRoute route) {
        return route.version() < configurationGuard.version() && !scheduler.isQueueOfPool(route.queue());
    }

    /**
     * Submits a job. One that is not known here and whose queue has moved is not accepted; by a configuration that this entry
     * does not have yet the queue may belong to this pool.
     *
     * @param route  the queue, and the configuration by which the job was sent here
     */
    CompletableFuture<JobReply> submit(JobSpec spec, QueueRoute route) {
        if (isMovedSince(route) && scheduler.phase(spec.id()).isEmpty()) {
            return CompletableFuture.completedFuture(MOVED);
        }
        Moment now = context.now();
        SubmitResult result = scheduler.submit(spec, store.isReachable(now.steadyMillis()), now);
        context.logDecision(SubmissionLog.decision(spec, result, owner.pool(), owner.token()));
        return switch (result.kind()) {
            case STORED -> CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.DONE, result.reason()));
            case PENDING -> whenStored(awaitedReplies.addSubmission(spec.id()));
            case REFUSED -> CompletableFuture.completedFuture(JobReply.ofRefusal(result));
        };
    }

    CompletableFuture<JobReply> cancel(String job) {
        Optional<JobPhase> phase = scheduler.cancel(job, context.now());
        if (phase.isEmpty()) {
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.NO_JOB, "unknown-job"));
        }
        context.logDecision(Decision.of("job-cancelled")
                .with("job", job)
                .with("pool", owner.pool())
                .with("phase", phase.get().name()));
        return scheduler.isStored(job)
                ? CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.DONE, "cancelled"))
                : whenStored(awaitedReplies.addCancellation(job));
    }

    CompletableFuture<JobReply> phase(String job) {
        return awaitedReplies.afterSubmission(
                job,
                () -> scheduler
                        .phase(job)
                        .map(JobReply::ofPhase)
                        .orElseGet(() -> JobReply.of(JobReplyStatus.NO_JOB, "unknown-job")));
    }

    /**
     * Counts the jobs of a queue that wait, and those that callers know by its address.
     */
    JobReply queuedJobs(String queue) {
        return JobReply.ofQueuedJobs(
                store.queuesAt(queue).stream().mapToInt(scheduler::queuedJobs).sum());
    }

    private CompletableFuture<JobReply> whenStored(CompletableFuture<JobReply> reply) {
        tickSoon.run();
        return reply;
    }

    /**
     * Replies to the submissions of jobs that wait for the store and that another pool is to accept now, or none.
     */
    void passOnMovedJobs() {
        scheduler.withdrawMovedJobs().forEach(job -> awaitedReplies.complete(job, MOVED));
    }

    /**
     * Refuses the jobs that wait for the store and that it cannot have received, so that their callers need not wait.
     */
    void refuseUnsentJobs() {
        JobReply refusal = JobReply.ofRefusal(PoolScheduler.STORE_UNAVAILABLE);
        scheduler.withdrawUnsentJobs().forEach(job -> awaitedReplies.complete(job, refusal));
    }

    /**
     * Completes the replies that a stored phase of a job confirms.
     */
    void phaseStored(String job, JobPhase phase) {
        awaitedReplies.phaseStored(job, phase);
    }

    /**
     * Completes the replies that wait, as another entry owns the pool or will claim it.
     */
    void ownerChanged() {
        awaitedReplies.completeAll(JobReply.of(JobReplyStatus.UNCERTAIN, "owner-changed"));
    }
}
