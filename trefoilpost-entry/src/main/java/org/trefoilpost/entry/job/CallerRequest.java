package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Decision;

/**
 * A request of a caller, from its arrival until it has its reply. The failure of a step towards the reply is the reply, as
 * nothing else would complete it. A request without a reply at its limit gets one that does not depend on the service's
 * thread, which may be behind, blocked or ended.
 *
 * <p>Safe for use by several threads.
 */
final class CallerRequest {
    /** Proposed to the caller of a request that was not begun. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final JobContext context;
    private final String kind;
    private final String subject;
    private final long limitMillis;
    private final CompletableFuture<JobReply> reply = new CompletableFuture<>();
    /** Set by the first step, or by the limit in its place. */
    private final AtomicBoolean begun = new AtomicBoolean();

    /**
     * Constructs a request without a reply.
     *
     * @param kind  what is requested, for the log, not null
     * @param subject  the identifier of the job or the name of the queue, not null
     * @param limitMillis  the time from now until the request gets its reply at the latest, in milliseconds
     */
    CallerRequest(JobContext context, String kind, String subject, long limitMillis) {
        this.context = context;
        this.kind = kind;
        this.subject = subject;
        this.limitMillis = limitMillis;
        CompletableFuture<Void> limit =
                new CompletableFuture<Void>().completeOnTimeout(null, limitMillis, TimeUnit.MILLISECONDS);
        limit.thenRun(this::limitReached);
        reply.whenComplete((value, failure) -> limit.cancel(false));
    }

    /**
     * Returns the reply, which completes normally and once.
     */
    CompletableFuture<JobReply> reply() {
        return reply;
    }

    /**
     * Completes the reply unless it is complete.
     */
    void complete(JobReply value) {
        reply.complete(value);
    }

    /**
     * Runs the first step on the service's thread, unless the request has its reply by then.
     */
    void begin(Runnable step) {
        context.execute(() -> {
            if (begun.compareAndSet(false, true)) {
                run(step);
            }
        });
    }

    /**
     * Passes the value of a call to the next step, on the thread that completes the call.
     */
    <T> void then(CompletableFuture<T> call, Consumer<T> step) {
        call.whenComplete((value, failure) -> {
            if (failure == null) {
                run(() -> step.accept(value));
            } else {
                fail(failure);
            }
        });
    }

    private void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            fail(e);
        }
    }

    private void fail(Throwable failure) {
        context.logDecision(RequestFailures.describe(kind, failure).with("job", subject));
        complete(RequestFailures.REPLY);
    }

    private void limitReached() {
        boolean notBegun = begun.compareAndSet(false, true);
        JobReply last = notBegun
                ? JobReply.refusal(JobReplyStatus.UNAVAILABLE, "service-behind", RETRY_AFTER_MILLIS)
                : JobReply.of(JobReplyStatus.UNCERTAIN, "reply-overdue");
        if (reply.complete(last)) {
            context.logDecision(Decision.failure("request-overdue")
                    .with("kind", kind)
                    .with("job", subject)
                    .with("reason", last.reason())
                    .with("limitMillis", limitMillis)
                    .with("threadQuietMillis", context.quietMillis()));
        }
    }
}
