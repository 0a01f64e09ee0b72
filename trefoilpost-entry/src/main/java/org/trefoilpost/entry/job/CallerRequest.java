package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A request of a caller, from its arrival until it has its reply. The failure of a step towards the reply is the reply, as
 * nothing else would complete it.
 *
 * <p>Safe for use by several threads.
 */
final class CallerRequest {
    private final JobContext context;
    private final String kind;
    private final String subject;
    private final CompletableFuture<JobReply> reply = new CompletableFuture<>();

    /**
     * Constructs a request without a reply.
     *
     * @param kind  what is requested, for the log, not null
     * @param subject  the identifier of the job or the name of the queue, not null
     */
    CallerRequest(JobContext context, String kind, String subject) {
        this.context = context;
        this.kind = kind;
        this.subject = subject;
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
     * Runs the first step on the service's thread.
     */
    void begin(Runnable step) {
        context.execute(() -> run(step));
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
}
