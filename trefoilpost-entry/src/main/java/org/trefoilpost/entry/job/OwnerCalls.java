package org.trefoilpost.entry.job;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.entry.peer.PeerCallException;
import org.trefoilpost.entry.peer.PoolAnswer;

/**
 * Asks the owner of a pool, here or at another entry, and asks again while the pool changes hands.
 */
final class OwnerCalls {
    private static final long RETRY_DELAY_MILLIS = 60;
    /** Longest time in milliseconds that a request which reached no owner is kept. */
    private static final long MAX_NO_OWNER_WAIT_MILLIS = 500;

    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final JobContext context;
    private final LiveEntries liveEntries;
    private final OwnerConnections connections;
    private final Function<String, Optional<PoolRunner>> localRunner;

    OwnerCalls(
            JobContext context,
            LiveEntries live,
            OwnerConnections links,
            Function<String, Optional<PoolRunner>> local) {
        this.context = context;
        this.liveEntries = live;
        this.connections = links;
        this.localRunner = local;
    }

    /**
     * Asks for as long as the caller has patience.
     */
    void ask(String pool, JobRequest request, long patienceMillis, CompletableFuture<JobReply> reply) {
        long nowMillis = context.now().steadyMillis();
        attempt(new PendingRequest(pool, request, reply, nowMillis, nowMillis + patienceMillis));
    }

    private void attempt(PendingRequest inquiry) {
        Optional<PoolRunner> runner = localRunner.apply(inquiry.pool);
        Optional<LiveEntries.Owner> owner = liveEntries.owner(inquiry.pool);
        if (runner.isPresent()) {
            inquiry.mayHaveReachedOwner = true;
            context.onServiceThread(serve(runner.get(), inquiry.request), (answer, failure) -> {
                if (failure != null || answer.reason().equals("owner-changed")) {
                    retryOrGiveUp(inquiry);
                } else {
                    complete(inquiry, answer);
                }
            });
        } else if (owner.isPresent()) {
            forward(inquiry, owner.get().peer());
        } else {
            retryOrGiveUp(inquiry);
        }
    }

    private void forward(PendingRequest inquiry, LiveEntries.Peer peer) {
        long left = inquiry.deadlineMillis - context.now().steadyMillis();
        byte[] request = inquiry.request.encode();
        context.onServiceThread(
                connections.call(peer, inquiry.pool, request, Math.max(1, Math.min(CALL_TIMEOUT_MILLIS, left))),
                (answer, failure) -> {
                    if (failure == null && answer.isOwner()) {
                        JobReply reply = JobReplyCodec.decode(answer.reply());
                        if (reply.reason().equals("owner-changed")) {
                            inquiry.mayHaveReachedOwner = true;
                            retryOrGiveUp(inquiry);
                        } else {
                            complete(inquiry, reply);
                        }
                        return;
                    }
                    boolean lost = failure instanceof PeerCallException call && call.possiblySent();
                    inquiry.mayHaveReachedOwner |= lost;
                    inquiry.callLost |= lost;
                    retryOrGiveUp(inquiry);
                });
    }

    private void complete(PendingRequest inquiry, JobReply reply) {
        inquiry.reply.complete(uncertainIfCallLost(reply, inquiry.callLost));
    }

    /**
     * Returns what can be told of a reply. After a call that brought no reply, which may still arrive at an owner that
     * holds its claim, a refusal does not prove that the request is not carried out.
     */
    static JobReply uncertainIfCallLost(JobReply reply, boolean callLost) {
        boolean refused = reply.status() == JobReplyStatus.UNAVAILABLE || reply.status() == JobReplyStatus.REJECTED;
        return refused && callLost ? JobReply.of(JobReplyStatus.UNCERTAIN, reply.reason()) : reply;
    }

    private void retryOrGiveUp(PendingRequest inquiry) {
        long nowMillis = context.now().steadyMillis();
        long end = inquiry.mayHaveReachedOwner
                ? inquiry.deadlineMillis
                : Math.min(inquiry.deadlineMillis, inquiry.startMillis + MAX_NO_OWNER_WAIT_MILLIS);
        if (nowMillis + RETRY_DELAY_MILLIS < end) {
            context.schedule(RETRY_DELAY_MILLIS, () -> attempt(inquiry));
        } else if (inquiry.mayHaveReachedOwner) {
            inquiry.reply.complete(JobReply.of(JobReplyStatus.UNCERTAIN, "owner-silent"));
        } else {
            inquiry.reply.complete(JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", RETRY_AFTER_MILLIS));
        }
    }

    /**
     * Carries out a request at the owner.
     */
    static CompletableFuture<JobReply> serve(PoolRunner runner, JobRequest request) {
        if (request instanceof JobRequest.Submit submit) {
            return runner.submit(submit.spec());
        } else if (request instanceof JobRequest.Cancel cancel) {
            return runner.cancel(cancel.job());
        } else if (request instanceof JobRequest.Phase phase) {
            return CompletableFuture.completedFuture(runner.phase(phase.job()));
        } else if (request instanceof JobRequest.QueuedJobs waiting) {
            return CompletableFuture.completedFuture(runner.queuedJobs(waiting.queue()));
        }
        return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.MALFORMED, "unknown-request"));
    }

    /**
     * Answers a call of another entry.
     */
    void answerPeerCall(String pool, byte[] bytes, BiConsumer<Boolean, byte[]> answer) {
        Optional<PoolRunner> runner = localRunner.apply(pool);
        Optional<JobRequest> request = JobRequest.decode(bytes);
        if (runner.isEmpty() || request.isEmpty()) {
            answer.accept(false, new byte[0]);
        } else if (request.get() instanceof JobRequest.Instruct instruct) {
            answer.accept(true, JobReplyCodec.encode(runner.get().instruct(instruct.instructions())));
        } else {
            serve(runner.get(), request.get()).thenAccept(reply -> answer.accept(true, JobReplyCodec.encode(reply)));
        }
    }

    /**
     * Passes on what the owner of the machines decided, and asks for the load.
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
        return connections
                .call(owner.get().peer(), pool, request, CALL_TIMEOUT_MILLIS)
                .thenApply(OwnerCalls::decodeDemand);
    }

    private static PoolDemand decodeDemand(PoolAnswer answer) {
        if (!answer.isOwner()) {
            throw new PeerCallException("the entry does not own the pool", false);
        }
        return JobReplyCodec.decodeDemand(answer.reply());
    }

    /**
     * A request on its way.
     */
    private static final class PendingRequest {
        private final String pool;
        private final JobRequest request;
        private final CompletableFuture<JobReply> reply;
        private final long startMillis;
        private final long deadlineMillis;
        private boolean mayHaveReachedOwner;
        private boolean callLost;

        private PendingRequest(
                String pool, JobRequest request, CompletableFuture<JobReply> reply, long beganMillis, long endMillis) {
            this.pool = pool;
            this.request = request;
            this.reply = reply;
            this.startMillis = beganMillis;
            this.deadlineMillis = endMillis;
        }
    }
}
