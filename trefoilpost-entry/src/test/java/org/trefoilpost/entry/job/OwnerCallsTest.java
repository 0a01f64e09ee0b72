package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Caller;

class OwnerCallsTest {
    @Test
    void refusalAfterLostCallIsUncertain() {
        for (JobReplyStatus refused : new JobReplyStatus[] {JobReplyStatus.REJECTED, JobReplyStatus.UNAVAILABLE}) {
            JobReply reply = JobReply.refusal(refused, "overload", 500);
            assertEquals(
                    JobReplyStatus.UNCERTAIN,
                    OwnerCalls.uncertainIfCallLost(reply, true).status());
            assertEquals(reply, OwnerCalls.uncertainIfCallLost(reply, false));
        }
    }

    @Test
    void otherRepliesAfterLostCallAreUnchanged() {
        JobReply done = JobReply.of(JobReplyStatus.DONE, "stored");
        assertEquals(done, OwnerCalls.uncertainIfCallLost(done, true));
        JobReply gone = JobReply.of(JobReplyStatus.NO_JOB, "unknown-job");
        assertEquals(gone, OwnerCalls.uncertainIfCallLost(gone, true));
    }

    @Test
    void requestIsRefusedSoonWhileNoOwnerCanCome() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            AtomicInteger attempts = new AtomicInteger();
            OwnerCalls calls = new OwnerCalls(
                    service.context(),
                    new LiveEntries(),
                    null,
                    pool -> {
                        attempts.incrementAndGet();
                        return Optional.empty();
                    },
                    () -> false);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> calls.ask("pool", new JobRequest.QueuedJobs("queue"), 3_000, reply));
            assertEquals(JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000), reply.join());
            assertTrue(attempts.get() <= 4, "attempts: " + attempts);
        }
    }

    /** Guards against a failure while a local owner serves a request, after which the caller got no answer. */
    @Test
    void requestOnWhichALocalOwnerFailsIsUncertain() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            PoolRunner runner = new PoolRunner("pool", 1, service.context(), null, () -> {});
            OwnerCalls calls =
                    new OwnerCalls(service.context(), new LiveEntries(), null, pool -> Optional.of(runner), () -> true);
            JobRequest failing = new JobRequest.Submit(null, Caller.UNIDENTIFIED);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> calls.ask("pool", failing, 3_000, reply));
            assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "internal"), reply.getNow(null));
        }
    }
}
