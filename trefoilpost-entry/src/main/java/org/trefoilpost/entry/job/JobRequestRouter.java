package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.team.AccessDecision;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Routes callers' requests to the owners of the pools and returns the owners' replies.
 *
 * <p>A request names its job, so it can safely be sent again. A request that may have reached an owner is never
 * reported as not carried out; its outcome is reported as uncertain.
 *
 * <p>When a queue is moved to another pool, or another queue takes its address, its earlier jobs remain with the former pool,
 * even if that pool leaves the configuration. Requests about a job are therefore sent to the owners of former pools too: of
 * those for which the store names the queue or its address, and of those that earlier configurations of this entry name for
 * them, as the latest changes of the store may not have arrived. Only an owner that answers that there is no such job counts
 * as not knowing it: one that is not heard may have it.
 *
 * <p>Each request names the configuration by which its owner was chosen. An owner with a newer one, by which the queue has left
 * its pool, passes a request about a job that it does not know to this router of its own entry.
 */
final class JobRequestRouter implements JobIngress {
    /** The time for a request that another entry has sent here, which does not say how long its caller waits. */
    private static final long REROUTED_DEADLINE_MILLIS = 1_400;

    private static final long MAX_JOB_NAME_LENGTH = 64;

    private static final long UNCONFIRMED_RETRY_AFTER_MILLIS = 1_000;

    private final JobContext context;
    private final OwnerCalls ownerCalls;
    private final FormerPools formerPools = new FormerPools();
    private volatile JobConfiguration configuration;
    private final ConfigurationStatus configurationStatus;
    private volatile boolean ready;

    /**
     * Constructs a router without a configuration.
     *
     * @param configurationStatus  tells how recently the configuration in force was confirmed
     */
    JobRequestRouter(JobContext context, OwnerCalls ownerCalls, ConfigurationStatus configurationStatus) {
        this.context = context;
        this.ownerCalls = ownerCalls;
        this.configurationStatus = configurationStatus;
        ownerCalls.rerouteBy(this::reroute);
        context.metrics().gauge("trefoilpost.jobs.configuration.version", this::configurationVersion);
        context.metrics().gauge("trefoilpost.jobs.configuration.age.millis", configurationStatus::displayedAgeMillis);
        context.metrics().gauge("trefoilpost.jobs.requests.unanswered", ownerCalls::unansweredCount);
        context.metrics().gauge("trefoilpost.jobs.service.quiet.millis", context::quietMillis);
    }

    /**
     * Applies a configuration, and remembers the pools of the former one.
     */
    void configure(JobConfiguration next) {
        if (configuration != null) {
            formerPools.record(configuration, context.now().steadyMillis());
        }
        configuration = next;
    }

    void setReady(boolean newReady) {
        ready = newReady;
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public Route route(String host, String path) {
        // Read before the configuration, so that it never confirms a later configuration than the one used.
        boolean confirmed = configurationStatus.isConfirmed();
        JobConfiguration current = configuration;
        if (current == null) {
            return new Route(false, false, Optional.empty(), "", 0);
        }
        Optional<QueueConfig> queue = current.findQueue(host, path);
        String job = queue.map(matching -> path.substring(matching.prefix().length()))
                .orElse("");
        boolean invalidName = job.indexOf('/') >= 0 || job.length() > MAX_JOB_NAME_LENGTH;
        return new Route(
                true,
                confirmed,
                invalidName ? Optional.empty() : queue.map(QueueConfig::name),
                invalidName ? "" : job,
                current.maxBodyBytes());
    }

    @Override
    public Access access(String queue, Optional<String> key) {
        // Read before the configuration, so that it never confirms a later configuration than the one used.
        boolean confirmed = configurationStatus.isConfirmed();
        JobConfiguration current = configuration;
        QueueConfig config = current == null ? null : current.queues().get(queue);
        AccessDecision decision = AccessDecision.of(
                context.settings().teamPolicy(),
                current == null ? Teams.NONE : current.teams(),
                config != null && config.publicAccess(),
                confirmed,
                key);
        return new Access(refusal(decision.result()), decision.caller());
    }

    private static Optional<JobReply> refusal(AccessDecision.Result result) {
        return switch (result) {
            case GRANTED -> Optional.empty();
            case MISSING_KEY -> Optional.of(JobReply.of(JobReplyStatus.UNAUTHENTICATED, "missing-key"));
            case UNKNOWN_KEY -> Optional.of(JobReply.of(JobReplyStatus.UNAUTHENTICATED, "unknown-key"));
            case UNCONFIRMED -> Optional.of(JobReply.of(JobReplyStatus.UNAVAILABLE, "configuration-unconfirmed"));
        };
    }

    @Override
    public CompletableFuture<JobReply> submit(JobSpec untagged, Caller caller, long deadlineMillis) {
        JobSpec spec = untagged.withTeam(caller.team());
        Optional<String> fault = spec.fault();
        if (fault.isPresent()) {
            recordRefusal("malformed-job", spec.id() + ": " + fault.get());
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.MALFORMED, fault.get()));
        }
        JobRequest request = new JobRequest.Submit(spec, caller);
        long endMillis = RequestTimes.ownerDeadlineMillis(deadlineMillis, context.now());
        CallerRequest open =
                new CallerRequest(context, "submit", spec.id(), RequestTimes.replyLimitMillis(deadlineMillis));
        open.begin(() -> submit(open, request, spec, caller, endMillis));
        return logOutcome("submit", spec.id(), recordForbidden("submit", spec.id(), caller, open.reply()));
    }

    private void submit(CallerRequest open, JobRequest request, JobSpec spec, Caller caller, long endMillis) {
        Optional<String> pool = poolOf(spec.queue());
        open.then(askFormerOwners(spec.queue(), pool, new JobRequest.Phase(spec.id(), caller), endMillis), former -> {
            if (former.isPresent()) {
                open.complete(FormerOwnerReplies.unsubmitted(former.get()));
            } else if (!poolOf(spec.queue()).equals(pool)) {
                // The queue has been moved meanwhile, and nobody has asked the owner of the pool that it left.
                submit(open, request, spec, caller, endMillis);
            } else {
                open.then(askOwner(spec.queue(), request, endMillis), open::complete);
            }
        });
    }

    /**
     * Carries out a request that another entry, or an earlier configuration, has sent to the owner of a pool which its queue has
     * left.
     */
    private CompletableFuture<JobReply> reroute(JobRequest.AboutJob request) {
        if (request instanceof JobRequest.Submit submit) {
            long endMillis = RequestTimes.ownerDeadlineMillis(REROUTED_DEADLINE_MILLIS, context.now());
            CallerRequest open = new CallerRequest(
                    context, "submit", request.job(), RequestTimes.replyLimitMillis(REROUTED_DEADLINE_MILLIS));
            open.begin(() -> submit(open, submit, submit.spec(), submit.caller(), endMillis));
            return open.reply();
        }
        String queue = request.route().map(QueueRoute::queue).orElse("");
        return askCurrentThenFormerOwners("reroute", queue, request, REROUTED_DEADLINE_MILLIS);
    }

    @Override
    public CompletableFuture<JobReply> cancel(String queue, String job, Caller caller, long deadlineMillis) {
        CompletableFuture<JobReply> reply =
                askCurrentThenFormerOwners("cancel", queue, new JobRequest.Cancel(job, caller), deadlineMillis);
        return logOutcome("cancel", job, recordForbidden("cancel", job, caller, reply));
    }

    @Override
    public CompletableFuture<JobReply> phase(String queue, String job, Caller caller, long deadlineMillis) {
        CompletableFuture<JobReply> reply =
                askCurrentThenFormerOwners("phase", queue, new JobRequest.Phase(job, caller), deadlineMillis);
        return recordForbidden("phase", job, caller, reply).thenApply(answer -> checkRead(queue, answer));
    }

    @Override
    public CompletableFuture<JobReply> queuedJobs(String queue, long deadlineMillis) {
        long endMillis = RequestTimes.ownerDeadlineMillis(deadlineMillis, context.now());
        CallerRequest open = new CallerRequest(context, "count", queue, RequestTimes.replyLimitMillis(deadlineMillis));
        open.begin(() -> open.then(countQueuedJobs(queue, endMillis), open::complete));
        return open.reply().thenApply(answer -> checkRead(queue, answer));
    }

    /**
     * Asks the owners of all pools in which a queue's jobs may be at the same time.
     */
    private CompletableFuture<JobReply> countQueuedJobs(String queue, long endMillis) {
        Optional<String> present = poolOf(queue);
        if (present.isEmpty()) {
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue"));
        }
        List<String> pools = new ArrayList<>(formerPoolsInService(queue, present, context.now()));
        pools.add(present.get());
        QueuedJobCount count = new QueuedJobCount(pools.size());
        for (String pool : pools) {
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            ownerCalls.ask(pool, new JobRequest.QueuedJobs(queue), endMillis, reply);
            context.onServiceThread(
                    reply, (answer, failure) -> count.add(failure == null ? answer : RequestFailures.REPLY));
        }
        return count.result();
    }

    /**
     * Replaces the reply to a read if the configuration has become unconfirmed while the owner was asked, as when the
     * process was suspended meanwhile, or if the configuration applied meanwhile has removed the queue.
     */
    private JobReply checkRead(String queue, JobReply reply) {
        boolean confirmed = configurationStatus.isConfirmed();
        JobConfiguration current = configuration;
        if (!confirmed) {
            return JobReply.refusal(
                    JobReplyStatus.UNAVAILABLE, "configuration-unconfirmed", UNCONFIRMED_RETRY_AFTER_MILLIS);
        }
        return current != null && current.queues().containsKey(queue)
                ? reply
                : JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue");
    }

    @Override
    public void recordRefusal(String reason, String request) {
        context.logDecision(requestRefused(reason, request));
    }

    @Override
    public int unansweredCount() {
        return ownerCalls.unansweredCount();
    }

    @Override
    public void endRequests() {
        context.execute(ownerCalls::endRequests);
    }

    private Decision requestRefused(String reason, String request) {
        return Decision.failure("request-refused")
                .with("reason", reason)
                .with("request", request)
                .with("version", configurationVersion())
                .with("confirmedAge", configurationStatus.displayedAgeMillis());
    }

    /**
     * Logs a request that the owner refused because the job belongs to another team, with the caller's team.
     */
    private CompletableFuture<JobReply> recordForbidden(
            String kind, String job, Caller caller, CompletableFuture<JobReply> reply) {
        return reply.whenComplete((value, failure) -> {
            if (value != null && value.status() == JobReplyStatus.FORBIDDEN) {
                context.logDecision(requestRefused(value.reason(), kind + " " + job)
                        .with("job", job)
                        .withIfPresent("team", caller.team()));
            }
        });
    }

    /**
     * Returns the version of the configuration in force, 0 if there is none.
     */
    private long configurationVersion() {
        JobConfiguration current = configuration;
        return current == null ? 0 : current.version();
    }

    private CompletableFuture<JobReply> logOutcome(String kind, String job, CompletableFuture<JobReply> reply) {
        long startMillis = context.now().steadyMillis();
        return reply.whenComplete((value, failure) -> {
            long tookMillis = context.now().steadyMillis() - startMillis;
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
     * Asks the owner of the queue's pool, and if it does not know the job, the owners of the queue's former pools.
     */
    private CompletableFuture<JobReply> askCurrentThenFormerOwners(
            String kind, String queue, JobRequest.AboutJob request, long deadlineMillis) {
        long endMillis = RequestTimes.ownerDeadlineMillis(deadlineMillis, context.now());
        CallerRequest open =
                new CallerRequest(context, kind, request.job(), RequestTimes.replyLimitMillis(deadlineMillis));
        open.begin(() -> {
            Optional<String> asked = poolOf(queue);
            open.then(askOwner(queue, request, endMillis), answer -> {
                if (answer.status() != JobReplyStatus.NO_JOB) {
                    open.complete(answer);
                } else {
                    open.then(
                            askFormerOwners(queue, asked, request, endMillis),
                            other -> open.complete(other.orElse(answer)));
                }
            });
        });
        return open.reply();
    }

    /**
     * Asks the owners of the queue's former pools at the same time.
     *
     * @param present  the pool whose owner is asked before or after them; the queue may have been moved since
     * @return the reply for the caller, see {@link FormerOwnerReplies}
     */
    private CompletableFuture<Optional<JobReply>> askFormerOwners(
            String queue, Optional<String> present, JobRequest.AboutJob request, long endMillis) {
        List<String> pools = formerPoolsInService(queue, present, context.now());
        FormerOwnerReplies replies = new FormerOwnerReplies(pools.size());
        for (String pool : pools) {
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            ownerCalls.ask(pool, routed(queue, request), endMillis, reply);
            context.onServiceThread(reply, (answer, failure) -> {
                JobReply heard = failure == null ? answer : JobReply.of(JobReplyStatus.UNCERTAIN, "internal");
                if (FormerOwnerReplies.isUnheard(heard)) {
                    context.logDecision(Decision.failure("former-owner-unheard")
                            .with("queue", queue)
                            .with("pool", pool)
                            .with("job", request.job())
                            .with("status", heard.status().name())
                            .with("reason", failure == null ? heard.reason() : failure.toString()));
                }
                replies.add(heard);
            });
        }
        return replies.result();
    }

    /**
     * Returns the pools in which a queue's jobs may be, other than a present one, that have an owner or get one. A pool that
     * was removed from the configuration and for which no jobs are stored gets none again once it has lost its owner.
     */
    private List<String> formerPoolsInService(String queue, Optional<String> present, Moment now) {
        JobConfiguration current = configuration;
        if (current == null) {
            return List.of();
        }
        QueueConfig config = current.queues().get(queue);
        String address = config == null ? "" : config.address();
        Set<String> pools = formerPools.of(queue, address);
        pools.addAll(ownerCalls.poolsWithJobsOf(queue, address));
        poolOf(queue).ifPresent(pools::add);
        present.ifPresent(pools::remove);
        return pools.stream()
                .filter(pool -> current.pools().contains(pool) || ownerCalls.mayHaveOwner(pool, now))
                .toList();
    }

    /**
     * Asks the owner of the queue's pool.
     */
    private CompletableFuture<JobReply> askOwner(String queue, JobRequest request, long endMillis) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        poolOf(queue)
                .ifPresentOrElse(
                        pool -> ownerCalls.ask(pool, routed(queue, request), endMillis, reply),
                        () -> reply.complete(JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue")));
        return reply;
    }

    /**
     * Returns a request with the configuration in force, by which its owner is chosen.
     */
    private JobRequest routed(String queue, JobRequest request) {
        return request instanceof JobRequest.AboutJob about
                ? about.withRoute(new QueueRoute(queue, configurationVersion()))
                : request;
    }

    /**
     * Returns the pool to which the configuration in force sends a queue, empty if it has no such queue.
     */
    private Optional<String> poolOf(String queue) {
        return Optional.ofNullable(configuration)
                .map(current -> current.queues().get(queue))
                .map(QueueConfig::pool);
    }

    OwnerCalls ownerCalls() {
        return ownerCalls;
    }
}
