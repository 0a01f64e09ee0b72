package org.trefoilpost.entry.job;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.OwnerWait;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.entry.peer.PeerCallException;
import org.trefoilpost.entry.peer.PoolAnswer;

/**
 * Calls the owner of a pool, which is this entry or another one, and retries while the ownership changes. Also answers
 * the calls of other entries to the pools that this entry owns.
 */
final class OwnerCalls {
    private static final long RETRY_DELAY_MILLIS = 60;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    /** Proposed to the caller if no owner was reached. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private static final String ENTRY_STOPPING = "entry-stopping";

    private final JobContext context;
    private final LiveEntries liveEntries;
    private final PeerCalls peerCalls;
    private final Function<String, Optional<PoolRunner>> localRunner;
    private final BooleanSupplier storeServed;
    private final Set<PendingRequest> unanswered = new LinkedHashSet<>();
    private volatile int unansweredCount;
    private boolean ended;
    private Function<JobRequest.AboutJob, CompletableFuture<JobReply>> rerouter =
            request -> CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.UNCERTAIN, "queue-moved"));

    /**
     * Constructs the calls.
     *
     * @param localRunner  returns the runner of a pool that this entry owns
     * @param storeServed  tells whether the store can be reached
     */
    OwnerCalls(
            JobContext context,
            LiveEntries liveEntries,
            PeerCalls peerCalls,
            Function<String, Optional<PoolRunner>> localRunner,
            BooleanSupplier storeServed) {
        this.context = context;
        this.liveEntries = liveEntries;
        this.peerCalls = peerCalls;
        this.localRunner = localRunner;
        this.storeServed = storeServed;
    }

    /**
     * Sets what carries out the requests about jobs that reach the owner of a pool which their queue has left.
     *
     * @param newRerouter  sends a request to the owners that the configuration in force of this entry names
     */
    void rerouteBy(Function<JobRequest.AboutJob, CompletableFuture<JobReply>> newRerouter) {
        rerouter = newRerouter;
    }

    /**
     * Sends a request to the owner of a pool, and retries it until the deadline.
     *
     * @param deadlineMillis  when the wait for a reply ends, on the steady clock in milliseconds
     * @param reply  is completed with the owner's reply, or with a refusal or an uncertain outcome if there is none
     */
    void ask(String pool, JobRequest request, long deadlineMillis, CompletableFuture<JobReply> reply) {
        long nowMillis = context.now().steadyMillis();
        PendingRequest pending = new PendingRequest(pool, request, reply, nowMillis, deadlineMillis);
        unanswered.add(pending);
        unansweredCount = unanswered.size();
        reply.whenComplete((answer, failure) -> {
            unanswered.remove(pending);
            unansweredCount = unanswered.size();
        });
        // Not each step has a limit of its own: a job that waits for the store has none.
        context.schedule(Math.max(0, deadlineMillis - nowMillis), () -> endWait(pending));
        run(pending, () -> attempt(pending));
    }

    /**
     * Runs a step towards the reply of a request. If the step fails, that is the reply, as nothing else would complete it.
     */
    private void run(PendingRequest pending, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            pending.reply().complete(failed(pending.request(), e));
        }
    }

    /**
     * Returns the number of requests that wait for a reply. May be called on any thread.
     */
    int unansweredCount() {
        return unansweredCount;
    }

    /**
     * Ends the wait of all requests, and of those that are asked later: each is answered at once, as not carried out if that
     * is certain.
     */
    void endRequests() {
        ended = true;
        List.copyOf(unanswered).forEach(this::giveUp);
    }

    /**
     * Returns the pools for which jobs are stored that belong to a queue or that callers know by its address.
     */
    List<String> poolsWithJobsOf(String queue, String address) {
        return liveEntries.poolsWithJobsOf(queue, address);
    }

    /**
     * Returns whether a pool that is not configured has an owner or may get one: as long as jobs are stored for it, and
     * while an owner that has only just lost its claim may renew it.
     */
    boolean mayHaveOwner(String pool, Moment now) {
        long nowMillis = now.steadyMillis();
        return liveEntries.poolsWithJobs().contains(pool)
                || localRunner.apply(pool).isPresent()
                || liveEntries.owner(pool).isPresent()
                || nowMillis - liveEntries.ownerlessSinceMillis(pool, nowMillis) < OwnerWait.maxMillis(true);
    }

    private void giveUp(PendingRequest pending) {
        context.logDecision(pending.describe("request-given-up", context.now().steadyMillis()));
        pending.reply()
                .complete(
                        pending.mayHaveRun()
                                ? JobReply.of(JobReplyStatus.UNCERTAIN, ENTRY_STOPPING)
                                : JobReply.refusal(JobReplyStatus.UNAVAILABLE, ENTRY_STOPPING, RETRY_AFTER_MILLIS));
    }

    private void attempt(PendingRequest pending) {
        if (pending.reply().isDone()) {
            return;
        }
        if (ended) {
            giveUp(pending);
            return;
        }
        if (context.now().steadyMillis() >= pending.deadlineMillis()) {
            // A request that is passed on now would be carried out for a caller that no longer waits.
            retryOrGiveUp(pending);
            return;
        }
        Optional<PoolRunner> runner = localRunner.apply(pending.pool());
        Optional<LiveEntries.Owner> owner = liveEntries.owner(pending.pool());
        if (runner.isPresent()) {
            pending.reachedOwner();
            pending.passedTo("this entry");
            context.call(
                    () -> serve(runner.get(), pending.request()),
                    (answer, failure) -> run(pending, () -> served(pending, answer, failure)));
        } else if (owner.isPresent()) {
            forward(pending, owner.get().peer());
        } else {
            retryOrGiveUp(pending);
        }
    }

    private void forward(PendingRequest pending, LiveEntries.Peer peer) {
        long remainingMillis = pending.deadlineMillis() - context.now().steadyMillis();
        byte[] request = pending.request().encode();
        pending.passedTo(peer.name());
        context.call(
                () -> peerCalls.call(
                        peer, pending.pool(), request, Math.max(1, Math.min(CALL_TIMEOUT_MILLIS, remainingMillis))),
                (answer, failure) -> run(pending, () -> answered(pending, answer, failure)));
    }

    /**
     * Handles the reply of this entry's own runner.
     */
    private void served(PendingRequest pending, JobReply reply, Throwable failure) {
        if (failure != null || reply.reason().equals("owner-changed")) {
            retryOrGiveUp(pending);
        } else {
            complete(pending, reply);
        }
    }

    /**
     * Handles the answer of another entry.
     */
    private void answered(PendingRequest pending, PoolAnswer answer, Throwable failure) {
        if (failure == null && answer.isOwner()) {
            // Fails on a status of a newer program that this one does not know.
            JobReply reply = JobReplyCodec.decode(answer.reply());
            if (reply.reason().equals("owner-changed")) {
                pending.reachedOwner();
                retryOrGiveUp(pending);
            } else {
                complete(pending, reply);
            }
            return;
        }
        boolean notSent = failure instanceof PeerCallException call && !call.possiblySent();
        boolean lost = failure != null && !notSent;
        if (lost) {
            pending.callLost();
        }
        retryOrGiveUp(pending);
    }

    private void complete(PendingRequest pending, JobReply reply) {
        pending.reply().complete(uncertainIfCallLost(reply, pending.isCallLost()));
    }

    /**
     * Returns a reply, with a refusal made uncertain if an earlier call was lost. A lost call got no reply and may
     * still reach an owner that holds its claim, so a later refusal does not prove that the request is not carried out.
     */
    static JobReply uncertainIfCallLost(JobReply reply, boolean callLost) {
        boolean refused = reply.status() == JobReplyStatus.UNAVAILABLE || reply.status() == JobReplyStatus.REJECTED;
        return refused && callLost ? JobReply.of(JobReplyStatus.UNCERTAIN, reply.reason()) : reply;
    }

    private void retryOrGiveUp(PendingRequest pending) {
        pending.awaitOwner();
        long nowMillis = context.now().steadyMillis();
        long endMillis = pending.mayHaveReachedOwner()
                ? pending.deadlineMillis()
                : Math.min(
                        pending.deadlineMillis(),
                        pending.startMillis() + OwnerWait.maxMillis(storeServed.getAsBoolean()));
        if (nowMillis + RETRY_DELAY_MILLIS < endMillis) {
            context.schedule(RETRY_DELAY_MILLIS, () -> run(pending, () -> attempt(pending)));
        } else {
            endWait(pending);
        }
    }

    /**
     * Answers a request whose owner has not been heard in time, unless it has its answer.
     */
    private static void endWait(PendingRequest pending) {
        pending.reply()
                .complete(
                        pending.mayHaveRun()
                                ? JobReply.of(JobReplyStatus.UNCERTAIN, "owner-silent")
                                : JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", RETRY_AFTER_MILLIS));
    }

    /**
     * Carries out a request in the runner of a pool that this entry owns.
     */
    private CompletableFuture<JobReply> serve(PoolRunner runner, JobRequest request) {
        try {
            return serveUnguarded(runner, request).thenCompose(reply -> rerouteIfMoved(runner, request, reply));
        } catch (RuntimeException | Error e) {
            return CompletableFuture.completedFuture(failed(request, e));
        }
    }

    /**
     * Sends a request on if its sender has not heard that its queue has moved and the job is not known here. Each time that a
     * request is sent on, it is by a newer configuration.
     */
    private CompletableFuture<JobReply> rerouteIfMoved(PoolRunner runner, JobRequest request, JobReply reply) {
        boolean unknown = reply.equals(PoolRequests.MOVED) || reply.status() == JobReplyStatus.NO_JOB;
        if (!unknown || !(request instanceof JobRequest.AboutJob about)) {
            return CompletableFuture.completedFuture(reply);
        }
        boolean moved = about.route().map(runner.requests()::isMovedSince).orElse(false);
        if (!moved && !reply.equals(PoolRequests.MOVED)) {
            return CompletableFuture.completedFuture(reply);
        }
        context.logDecision(Decision.of("request-rerouted")
                .with("kind", request.getClass().getSimpleName())
                .with("job", about.job())
                .with("pool", runner.pool())
                .with("sentByVersion", about.route().map(QueueRoute::version).orElse(0L)));
        return rerouter.apply(about);
    }

    /**
     * Logs a failure, and returns the reply to the request: it may have been carried out in part.
     */
    private JobReply failed(JobRequest request, Throwable failure) {
        context.logDecision(RequestFailures.describe(request, failure));
        return RequestFailures.REPLY;
    }

    private CompletableFuture<JobReply> serveUnguarded(PoolRunner runner, JobRequest request) {
        if (request instanceof JobRequest.AboutJob about && !mayAccess(runner, about)) {
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.FORBIDDEN, "other-team"));
        }
        if (request instanceof JobRequest.Submit submit) {
            return runner.requests().submit(submit.spec(), routeOf(submit));
        } else if (request instanceof JobRequest.Cancel cancel) {
            return runner.requests().cancel(cancel.job());
        } else if (request instanceof JobRequest.Phase phase) {
            return runner.requests().phase(phase.job());
        } else if (request instanceof JobRequest.QueuedJobs queuedJobs) {
            return CompletableFuture.completedFuture(runner.requests().queuedJobs(queuedJobs.queue()));
        }
        return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.MALFORMED, "unknown-request"));
    }

    /**
     * Returns the route of a submission; one without a route is older than any configuration.
     */
    private static QueueRoute routeOf(JobRequest.Submit request) {
        return request.route().orElseGet(() -> new QueueRoute(request.spec().queue(), 0));
    }

    /**
     * Returns whether the caller may send requests about the job. Where no keys are required, the teams that jobs may have
     * from before do not matter.
     */
    private boolean mayAccess(PoolRunner runner, JobRequest.AboutJob request) {
        return !context.settings().teamPolicy().keysRequired()
                || request.caller().mayAccessJobOf(runner.teamOfJob(request.job()));
    }

    /**
     * Answers a call from another entry.
     *
     * @param answer  receives true and the encoded reply, or false and no bytes if this entry does not own the pool or
     *     cannot decode the request
     */
    void answerPeerCall(String pool, byte[] bytes, BiConsumer<Boolean, byte[]> answer) {
        Optional<JobRequest> request = JobRequest.decode(bytes);
        if (request.isEmpty()) {
            answer.accept(false, new byte[0]);
            return;
        }
        try {
            answerUnguarded(pool, request.get(), answer);
        } catch (RuntimeException | Error e) {
            answer.accept(true, JobReplyCodec.encode(failed(request.get(), e)));
        }
    }

    private void answerUnguarded(String pool, JobRequest request, BiConsumer<Boolean, byte[]> answer) {
        Optional<PoolRunner> runner = localRunner.apply(pool);
        if (runner.isEmpty()) {
            answer.accept(false, new byte[0]);
        } else if (request instanceof JobRequest.Instruct instruct) {
            answer.accept(true, JobReplyCodec.encode(runner.get().instruct(instruct.instructions())));
        } else {
            serve(runner.get(), request)
                    .exceptionally(failure -> failed(request, failure))
                    .thenAccept(reply -> answer.accept(true, JobReplyCodec.encode(reply)));
        }
    }

    /**
     * Passes the instructions of the owner of the machines to the owner of a pool, and returns the pool's demand. Fails
     * without a retry if the pool has no owner or the owner does not answer.
     */
    CompletableFuture<PoolDemand> instruct(String pool, PoolInstructions instructions) {
        Optional<PoolRunner> runner = localRunner.apply(pool);
        if (runner.isPresent()) {
            return CompletableFuture.completedFuture(runner.get().instruct(instructions));
        }
        Optional<LiveEntries.Owner> owner = liveEntries.owner(pool);
        if (owner.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerCallException("pool " + pool + " has no owner", false));
        }
        byte[] request = new JobRequest.Instruct(instructions).encode();
        return peerCalls
                .call(owner.get().peer(), pool, request, CALL_TIMEOUT_MILLIS)
                .thenApply(OwnerCalls::decodeDemand);
    }

    private static PoolDemand decodeDemand(PoolAnswer answer) {
        if (!answer.isOwner()) {
            throw new PeerCallException("called entry does not own the pool", false);
        }
        return JobReplyCodec.decodeDemand(answer.reply());
    }
}
