package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Caller;

class OwnerCallsTest {
    private static final long DEADLINE_MILLIS = 3_000;

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
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), reply));
            assertEquals(JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000), reply.join());
            assertTrue(attempts.get() <= 4, "attempts: " + attempts);
        }
    }

    /** Guards against a failure while a local owner serves a request, after which the caller got no answer. */
    @Test
    void requestOnWhichALocalOwnerFailsIsUncertain() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            PoolRunner runner = new PoolRunner("pool", 1, service.context(), null, ConfigurationGuard.NONE, () -> {});
            OwnerCalls calls =
                    new OwnerCalls(service.context(), new LiveEntries(), null, pool -> Optional.of(runner), () -> true);
            JobRequest failing = new JobRequest.Submit(null, Caller.UNIDENTIFIED);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> ask(service, calls, failing, reply));
            assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "internal"), reply.getNow(null));
        }
    }

    /** Guards against requests that get no answer because the entry ends while they wait for an owner. */
    @Test
    void requestThatWaitsForAnOwnerIsRefusedWhenTheEntryEnds() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            OwnerCalls calls =
                    new OwnerCalls(service.context(), new LiveEntries(), null, pool -> Optional.empty(), () -> true);
            CompletableFuture<JobReply> waiting = new CompletableFuture<>();
            CompletableFuture<JobReply> later = new CompletableFuture<>();
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), waiting));
            assertEquals(1, calls.unansweredCount());
            service.run(calls::endRequests);
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), later));
            JobReply refusal = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "entry-stopping", 1_000);
            assertEquals(refusal, waiting.getNow(null));
            assertEquals(refusal, later.getNow(null));
            assertEquals(0, calls.unansweredCount());
        }
    }

    /** Guards against a refusal that says "not carried out" of a request whose call to another entry is in flight. */
    @Test
    void requestInFlightToAnotherEntryIsUncertainWhenTheEntryEnds() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            LiveEntries.Peer owner = new LiveEntries.Peer("entry-2", "127.0.0.1:2", "first", 750);
            String key = LiveEntries.ownerKey("pool");
            LiveEntries liveEntries = new LiveEntries();
            liveEntries.change(key, Optional.of(new StorePort.Item(key, LiveEntries.encode(owner), 1, 1)), 0);
            List<LiveEntries.Peer> called = new CopyOnWriteArrayList<>();
            PeerCalls unanswered = (peer, pool, request, timeoutMillis) -> {
                called.add(peer);
                return new CompletableFuture<>();
            };
            OwnerCalls calls =
                    new OwnerCalls(service.context(), liveEntries, unanswered, pool -> Optional.empty(), () -> true);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), reply));
            assertEquals(List.of(owner), called);
            assertFalse(reply.isDone());
            service.run(calls::endRequests);
            assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "entry-stopping"), reply.getNow(null));
            assertEquals(0, calls.unansweredCount());
        }
    }

    /** Guards against a refusal that says "not carried out" of a request that an owner has. */
    @Test
    void requestThatAnOwnerHasIsUncertainWhenTheEntryEnds() {
        PendingRequest pending =
                new PendingRequest("pool", new JobRequest.QueuedJobs("queue"), new CompletableFuture<>(), 0, 3_000);
        assertFalse(pending.mayHaveRun());
        pending.passedTo("entry-2");
        assertTrue(pending.mayHaveRun(), "its answer is awaited");
        pending.awaitOwner();
        assertFalse(pending.mayHaveRun(), "the entry was not reached");
        pending.callLost();
        assertTrue(pending.mayHaveRun(), "the call was sent");
    }

    /** Guards against a job that is passed on, and may run, when its caller no longer waits. */
    @Test
    void requestWhoseDeadlineIsOverIsNotPassedOn() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            PoolRunner runner = new PoolRunner("pool", 1, service.context(), null, ConfigurationGuard.NONE, () -> {});
            OwnerCalls calls =
                    new OwnerCalls(service.context(), new LiveEntries(), null, pool -> Optional.of(runner), () -> true);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> calls.ask(
                    "pool",
                    new JobRequest.QueuedJobs("queue"),
                    service.context().now().steadyMillis(),
                    reply));
            assertEquals(JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000), reply.getNow(null));
        }
    }

    /** Guards against requests that nobody answers after a step towards their owner has failed. */
    @Test
    void requestIsUncertainIfAStepTowardsItsOwnerFails() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            for (Throwable failure : List.of(new IllegalStateException("test"), new StackOverflowError())) {
                OwnerCalls calls = new OwnerCalls(
                        service.context(), new LiveEntries(), null, pool -> failingRunner(failure), () -> true);
                CompletableFuture<JobReply> reply = new CompletableFuture<>();
                service.run(() -> runUnchecked(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), reply)));
                assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "internal"), reply.getNow(null));
                assertEquals(0, calls.unansweredCount());
            }
        }
    }

    /** Guards against requests that nobody answers after a retry for them has failed. */
    @Test
    void requestIsUncertainIfARetryFails() {
        AtomicLong clock = new AtomicLong(1_000_000);
        try (TestService service = new TestService(new MemoryStore(), null, new UnusedFormats(), clock::get)) {
            AtomicInteger attempts = new AtomicInteger();
            OwnerCalls calls = new OwnerCalls(
                    service.context(),
                    new LiveEntries(),
                    null,
                    pool -> attempts.incrementAndGet() > 1
                            ? failingRunner(new IllegalStateException("test"))
                            : Optional.empty(),
                    () -> true);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), reply));
            assertFalse(reply.isDone());
            clock.addAndGet(100);
            service.runWithTimers(() -> {});
            assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "internal"), reply.getNow(null));
        }
    }

    /** Guards against requests that nobody answers after the answer of another entry could not be handled. */
    @Test
    void requestIsUncertainIfTheAnswerOfAnotherEntryCannotBeHandled() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            LiveEntries.Peer owner = new LiveEntries.Peer("entry-2", "127.0.0.1:2", "first", 750);
            String key = LiveEntries.ownerKey("pool");
            LiveEntries liveEntries = new LiveEntries();
            liveEntries.change(key, Optional.of(new StorePort.Item(key, LiveEntries.encode(owner), 1, 1)), 0);
            PeerCalls withoutAnswer = (peer, pool, request, timeoutMillis) -> CompletableFuture.completedFuture(null);
            OwnerCalls calls =
                    new OwnerCalls(service.context(), liveEntries, withoutAnswer, pool -> Optional.empty(), () -> true);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), reply));
            assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "internal"), reply.getNow(null));
        }
    }

    /** Guards against entries that wait for an answer until their timeout, since the called entry has failed on the call. */
    @Test
    void callOfAnotherEntryIsAnsweredIfItFails() {
        try (TestService service = new TestService(new MemoryStore(), null, null, new UnusedFormats())) {
            for (Throwable failure : List.of(new IllegalStateException("test"), new StackOverflowError())) {
                OwnerCalls calls = new OwnerCalls(
                        service.context(), new LiveEntries(), null, pool -> failingRunner(failure), () -> true);
                List<JobReply> replies = new CopyOnWriteArrayList<>();
                byte[] request = new JobRequest.QueuedJobs("queue").encode();
                service.run(() -> runUnchecked(() -> calls.answerPeerCall(
                        "pool", request, (owner, bytes) -> replies.add(JobReplyCodec.decode(bytes)))));
                assertEquals(List.of(JobReply.of(JobReplyStatus.UNCERTAIN, "internal")), replies);
            }
        }
    }

    /** Guards against requests that wait for their owner for longer than their callers do. */
    @Test
    void requestIsAnsweredAtItsDeadlineIfItsOwnerIsSilent() {
        AtomicLong clock = new AtomicLong(1_000_000);
        try (TestService service = new TestService(new MemoryStore(), null, new UnusedFormats(), clock::get)) {
            LiveEntries.Peer owner = new LiveEntries.Peer("entry-2", "127.0.0.1:2", "first", 750);
            String key = LiveEntries.ownerKey("pool");
            LiveEntries liveEntries = new LiveEntries();
            liveEntries.change(key, Optional.of(new StorePort.Item(key, LiveEntries.encode(owner), 1, 1)), 0);
            PeerCalls silent = (peer, pool, request, timeoutMillis) -> new CompletableFuture<>();
            OwnerCalls calls =
                    new OwnerCalls(service.context(), liveEntries, silent, pool -> Optional.empty(), () -> true);
            CompletableFuture<JobReply> reply = new CompletableFuture<>();
            service.run(() -> ask(service, calls, new JobRequest.QueuedJobs("queue"), reply));
            clock.addAndGet(DEADLINE_MILLIS - 1);
            service.runWithTimers(() -> {});
            assertFalse(reply.isDone());
            clock.addAndGet(1);
            service.runWithTimers(() -> {});
            assertEquals(JobReply.of(JobReplyStatus.UNCERTAIN, "owner-silent"), reply.getNow(null));
            assertEquals(0, calls.unansweredCount());
        }
    }

    private static Optional<PoolRunner> failingRunner(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    /** Keeps a failure from the test's thread, as the service's thread would. */
    private static void runUnchecked(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error ignored) {
            // The reply is what is checked.
        }
    }

    private static void ask(
            TestService service, OwnerCalls calls, JobRequest request, CompletableFuture<JobReply> reply) {
        calls.ask("pool", request, service.context().now().steadyMillis() + DEADLINE_MILLIS, reply);
    }
}
