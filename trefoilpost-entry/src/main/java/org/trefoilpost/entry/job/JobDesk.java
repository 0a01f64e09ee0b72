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
final class JobDesk implements JobIngress {
    private static final long SHORTEST_DEADLINE_MILLIS = 300;
    private static final long LONGEST_DEADLINE_MILLIS = 10_000;
    private static final long REPLY_MARGIN_MILLIS = 250;
    /** The part of a short deadline that is kept for the way back. */
    private static final long REPLY_MARGIN_PART = 5;

    private static final long MAX_JOB_NAME = 64;

    private final JobContext context;
    private final OwnerCalls calls;
    private final Map<String, Set<String>> formerPools = new ConcurrentHashMap<>();
    private volatile JobConfiguration configuration;
    private volatile boolean ready;

    JobDesk(JobContext context, OwnerCalls calls) {
        this.context = context;
        this.calls = calls;
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

    void ready(boolean value) {
        ready = value;
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public Route route(String host, String path) {
        JobConfiguration current = configuration;
        if (current == null) {
            return new Route(false, Optional.empty(), "", 0);
        }
        Optional<QueueConfig> queue = current.queue(host, path);
        String job = queue.map(rule -> path.substring(rule.prefix().length())).orElse("");
        boolean nested = job.indexOf('/') >= 0 || job.length() > MAX_JOB_NAME;
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
            refused("malformed-job", spec.id() + ": " + fault.get());
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.MALFORMED, fault.get()));
        }
        JobRequest request = new JobRequest.Submit(spec);
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        context.run(() -> former(spec.queue(), new JobRequest.Phase(spec.id()), deadlineMillis)
                .thenAccept(known -> {
                    if (known.isPresent()) {
                        reply.complete(JobReply.of(JobReplyStatus.DONE, "known"));
                    } else {
                        ask(spec.queue(), spec.id(), request, deadlineMillis, reply);
                    }
                }));
        return logged("submit", spec.id(), reply);
    }

    @Override
    public CompletableFuture<JobReply> cancel(String queue, String job, long deadlineMillis) {
        return logged("cancel", job, withFormer(queue, job, new JobRequest.Cancel(job), deadlineMillis));
    }

    @Override
    public CompletableFuture<JobReply> phase(String queue, String job, long deadlineMillis) {
        return withFormer(queue, job, new JobRequest.Phase(job), deadlineMillis);
    }

    @Override
    public CompletableFuture<JobReply> waiting(String queue, long deadlineMillis) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        context.run(() -> ask(queue, "", new JobRequest.Waiting(queue), deadlineMillis, reply));
        return reply;
    }

    @Override
    public void refused(String reason, String request) {
        context.decided(
                Decision.failure("request-refused").with("reason", reason).with("request", request));
    }

    private CompletableFuture<JobReply> logged(String kind, String job, CompletableFuture<JobReply> reply) {
        long beganMillis = context.now().steadyMillis();
        return reply.whenComplete((value, failure) -> {
            long tookMillis = context.now().steadyMillis() - beganMillis;
            context.metrics().record("trefoilpost.jobs.request.time", kind, tookMillis);
            if (value != null) {
                context.metrics().count("trefoilpost.jobs.replies." + kind, value.reason());
                if (value.status() != JobReplyStatus.DONE) {
                    context.decided(Decision.failure(kind + "-refused")
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
    private CompletableFuture<JobReply> withFormer(String queue, String job, JobRequest request, long deadlineMillis) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        context.run(() -> {
            CompletableFuture<JobReply> first = new CompletableFuture<>();
            ask(queue, job, request, deadlineMillis, first);
            first.thenAccept(answer -> {
                if (answer.status() != JobReplyStatus.NO_JOB) {
                    reply.complete(answer);
                } else {
                    context.run(() -> former(queue, request, deadlineMillis)
                            .thenAccept(other -> reply.complete(other.orElse(answer))));
                }
            });
        });
        return reply;
    }

    private CompletableFuture<Optional<JobReply>> former(String queue, JobRequest request, long deadlineMillis) {
        List<String> pools = new ArrayList<>(formerPools.getOrDefault(queue, Set.of()));
        JobConfiguration current = configuration;
        QueueConfig rule = current == null ? null : current.queues().get(queue);
        if (rule != null) {
            pools.remove(rule.pool());
        }
        CompletableFuture<Optional<JobReply>> found = new CompletableFuture<>();
        formerNext(pools.iterator(), request, deadlineMillis, found);
        return found;
    }

    private void formerNext(
            Iterator<String> pools,
            JobRequest request,
            long deadlineMillis,
            CompletableFuture<Optional<JobReply>> found) {
        if (!pools.hasNext()) {
            found.complete(Optional.empty());
            return;
        }
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        calls.ask(pools.next(), request, patience(deadlineMillis), reply);
        context.onDuty(reply, (answer, failure) -> {
            if (answer != null && answer.status() == JobReplyStatus.DONE) {
                found.complete(Optional.of(answer));
            } else {
                formerNext(pools, request, deadlineMillis, found);
            }
        });
    }

    private void ask(
            String queue, String job, JobRequest request, long deadlineMillis, CompletableFuture<JobReply> reply) {
        JobConfiguration current = configuration;
        QueueConfig rule = current == null ? null : current.queues().get(queue);
        if (rule == null) {
            reply.complete(JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue"));
        } else {
            calls.ask(rule.pool(), request, patience(deadlineMillis), reply);
        }
    }

    private static long patience(long deadlineMillis) {
        long bounded = Math.min(LONGEST_DEADLINE_MILLIS, Math.max(SHORTEST_DEADLINE_MILLIS, deadlineMillis));
        return bounded - Math.min(REPLY_MARGIN_MILLIS, bounded / REPLY_MARGIN_PART);
    }

    /**
     * Returns what asks the owners.
     */
    OwnerCalls calls() {
        return calls;
    }
}
