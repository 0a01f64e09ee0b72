package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class CallerRequestTest {
    private static final JobReply DONE = JobReply.of(JobReplyStatus.DONE, "stored");
    private static final long LONG_MILLIS = 60_000;
    private static final long SHORT_MILLIS = 50;

    private final TestService service = new TestService(new MemoryStore(), null, new UnusedFormats());

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    @Timeout(20)
    void replyOfTheLastStepIsTheReply() {
        CallerRequest request = new CallerRequest(service.context(), "submit", "1", LONG_MILLIS);
        request.begin(() -> request.then(
                CompletableFuture.completedFuture(1),
                value -> request.then(CompletableFuture.completedFuture(DONE), request::complete)));
        assertEquals(DONE, request.reply().join());
    }

    @Test
    @Timeout(20)
    void failedCallIsUncertain() {
        CallerRequest request = new CallerRequest(service.context(), "submit", "1", LONG_MILLIS);
        request.begin(() -> request.then(
                CompletableFuture.failedFuture(new IllegalStateException("test")), value -> request.complete(DONE)));
        assertEquals(
                JobReply.of(JobReplyStatus.UNCERTAIN, "internal"),
                request.reply().join());
    }

    /** Guards against requests that are begun and whose reply nobody completes. */
    @Test
    @Timeout(20)
    void begunRequestWithoutAReplyIsUncertainAtItsLimit() {
        CallerRequest request = new CallerRequest(service.context(), "submit", "1", SHORT_MILLIS);
        request.begin(() -> request.then(new CompletableFuture<JobReply>(), request::complete));
        assertEquals(
                JobReply.of(JobReplyStatus.UNCERTAIN, "reply-overdue"),
                request.reply().join());
    }

    /** Guards against a refusal that says "not carried out" of a request that is carried out later. */
    @Test
    @Timeout(20)
    void refusedRequestIsNotBegun() {
        CallerRequest request = new CallerRequest(service.context(), "submit", "1", 0);
        assertEquals(
                JobReply.refusal(JobReplyStatus.UNAVAILABLE, "service-behind", 1_000),
                request.reply().join());
        AtomicBoolean begun = new AtomicBoolean();
        request.begin(() -> begun.set(true));
        service.run(() -> {});
        assertFalse(begun.get());
    }
}
