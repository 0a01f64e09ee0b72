package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;

/**
 * Brings callers' requests to the owners of the pools and their replies back.
 *
 * <p>Requests name the job, so sending one again is safe. A request that may have reached an owner is never refused as
 * not run; its outcome is told as uncertain.
 */
final class JobRequestRouter implements JobIngress {
    private static final long MIN_DEADLINE_MILLIS = 300;
    private static final long MAX_DEADLINE_MILLIS = 10_000;
    private static final long MAX_REPLY_MARGIN_MILLIS = 250;
    /** The part of a short deadline that is kept for the way back. */
    private static final long REPLY_MARGIN_DIVISOR = 5;

    private static final long MAX_JOB_NAME_LENGTH = 64;

    private final JobContext context;
    private final OwnerCalls ownerCalls;
    private final Map<String, Set<String>> formerPools = new ConcurrentHashMap<>();
    private volatile JobConfiguration configuration;
    private volatile boolean ready;

    JobRequestRouter(JobContext context, OwnerCalls calls) {
        this.context = context;
        this.ownerCalls = calls;
    }

    /**
     * Takes in a configuration.
     */
    void configure(JobConfiguration next) {
        JobConfiguration before = configuration;
        if (before != null) {
            for (QueueConfig rule : before.queues().values()) {
                QueueConfig after = next.queues().get(rule.name());
                if (after != null && !after.pool().equals(rule.pool())) {
                    formerPools
                            .computeIfAbsent(rule.name(), name -> ConcurrentHashMap.newKeySet())
                            .add(rule.pool());
                }
            }
        }
        configuration = next;
    }

    void isReady(boolean value) {
        ready = value;
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public Route route(String host, String path) {
        JobConfiguration current = configuration;
        if (current == null) {
            return new Route(false, Optional.empty(), "", 0);
        }
        Optional<QueueConfig> queue = current.findQueue(host, path);
        String job = queue.map(rule -> path.substring(rule.prefix().length())).orElse("");
        boolean nested = job.indexOf('/') >= 0 || job.length() > MAX_JOB_NAME_LENGTH;
        return new Route(
                true,
                nested ? Optional.empty() : queue.map(QueueConfig::name),
                nested ? "" : job,
                current.maxBodyBytes());
    }

    @Override
    public CompletableFuture<JobReply> submit(JobSpec spec, long deadlineMillis) {
        Optional<String> fault = spec.fault();
        if (fault.isPresent()) {
            recordRefusal("malformed-job", spec.id() + ": " + fault.get());
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.MALFORMED, fault.get()));
        }
        JobRequest request = new JobRequest.Submit(spec);
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        context.execute(() -> askFormerOwners(spec.queue(), new JobRequest.Phase(spec.id()), deadlineMillis)
                .thenAccept(known -> {
                    if (known.isPresent()) {
                        reply.complete(JobReply.of(JobReplyStatus.DONE, "known"));
                    } else {
                        askOwner(spec.queue(), spec.id(), request, deadlineMillis, reply);
                    }
                }));
        return logOutcome("submit", spec.id(), reply);
    }

    @Override
    public CompletableFuture<JobReply> cancel(String queue, String job, long deadlineMillis) {
        return logOutcome(
                "cancel", job, askCurrentThenFormerOwners(queue, job, new JobRequest.Cancel(job), deadlineMillis));
    }

    @Override
    public CompletableFuture<JobReply> phase(String queue, String job, long deadlineMillis) {
        return askCurrentThenFormerOwners(queue, job, new JobRequest.Phase(job), deadlineMillis);
    }

    @Override
    public CompletableFuture<JobReply> queuedJobs(String queue, long deadlineMillis) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        context.execute(() -> askOwner(queue, "", new JobRequest.QueuedJobs(queue), deadlineMillis, reply));
        return reply;
    }

    @Override
    public void recordRefusal(String reason, String request) {
        context.logDecision(
                Decision.failure("request-refused").with("reason", reason).with("request", request));
    }

    private CompletableFuture<JobReply> logOutcome(String kind, String job, CompletableFuture<JobReply> reply) {
        long beganMillis = context.now().steadyMillis();
        return reply.whenComplete((value, failure) -> {
            long tookMillis = context.now().steadyMillis() - beganMillis;
            context.metrics().record("trefoilpost.jobs.request.time", kind, tookMillis);
            if (value != null) {
                context.metrics().count("trefoilpost.jobs.replies." + kind, value.reason());
                if (value.status() != JobReplyStatus.DONE) {
                    context.logDecision(Decision.failure(kind + "-refused")
                            .with("job", job)
                            .with("status", value.status().name())
                            .with("reason", value.reason())
                            .with("retryAfterMillis", value.retryAfterMillis())
                            .with("tookMillis", tookMillis));
                }
            }
        });
    }

    /**
     * Asks the owner of the queue's pool, and those of the pools that the queue used before if that one knows no such job.
     */
    private CompletableFuture<JobReply> askCurrentThenFormerOwners(
            String queue, String job, JobRequest request, long deadlineMillis) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        context.execute(() -> {
            CompletableFuture<JobReply> first = new CompletableFuture<>();
            askOwner(queue, job, request, deadlineMillis, first);
            first.thenAccept(answer -> {
                if (answer.status() != JobReplyStatus.NO_JOB) {
                    reply.complete(answer);
                } else {
                    context.execute(() -> askFormerOwners(queue, request, deadlineMillis)
                            .thenAccept(other -> reply.complete(other.orElse(answer))));
                }
            });
        });
        return reply;
    }

    private CompletableFuture<Optional<JobReply>> askFormerOwners(
            String queue, JobRequest request, long deadlineMillis) {
        List<String> pools = new ArrayList<>(formerPools.getOrDefault(queue, Set.of()));
        JobConfiguration current = configuration;
        QueueConfig rule = current == null ? null : current.queues().get(queue);
        if (rule != null) {
            pools.remove(rule.pool());
        }
        CompletableFuture<Optional<JobReply>> found = new CompletableFuture<>();
        askNextFormerOwner(pools.iterator(), request, deadlineMillis, found);
        return found;
    }

    private void askNextFormerOwner(
            Iterator<String> pools,
            JobRequest request,
            long deadlineMillis,
            CompletableFuture<Optional<JobReply>> found) {
        if (!pools.hasNext()) {
            found.complete(Optional.empty());
            return;
        }
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        ownerCalls.ask(pools.next(), request, ownerTimeoutMillis(deadlineMillis), reply);
        context.onServiceThread(reply, (answer, failure) -> {
            if (answer != null && answer.status() == JobReplyStatus.DONE) {
                found.complete(Optional.of(answer));
            } else {
                askNextFormerOwner(pools, request, deadlineMillis, found);
            }
        });
    }

    private void askOwner(
            String queue, String job, JobRequest request, long deadlineMillis, CompletableFuture<JobReply> reply) {
        JobConfiguration current = configuration;
        QueueConfig rule = current == null ? null : current.queues().get(queue);
        if (rule == null) {
            reply.complete(JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue"));
        } else {
            ownerCalls.ask(rule.pool(), request, ownerTimeoutMillis(deadlineMillis), reply);
        }
    }

    private static long ownerTimeoutMillis(long deadlineMillis) {
        long bounded = Math.min(MAX_DEADLINE_MILLIS, Math.max(MIN_DEADLINE_MILLIS, deadlineMillis));
        return bounded - Math.min(MAX_REPLY_MARGIN_MILLIS, bounded / REPLY_MARGIN_DIVISOR);
    }

    /**
     * Returns what asks the owners.
     */
    OwnerCalls ownerCalls() {
        return ownerCalls;
    }
}
