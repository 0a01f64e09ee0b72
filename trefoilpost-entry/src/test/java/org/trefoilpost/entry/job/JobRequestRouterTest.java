package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.team.Caller;
import org.trefoilpost.decision.job.team.Teams;

class JobRequestRouterTest {
    private static final long CONFIRMED_MILLIS = 1_000_000;

    private final AtomicLong clock = new AtomicLong(CONFIRMED_MILLIS);
    /** Runs once at the next reading of the clock by the thread of the test. */
    private final AtomicReference<Runnable> atClockReading = new AtomicReference<>();

    private final Thread testThread = Thread.currentThread();
    private final TestService service = new TestService(new MemoryStore(), null, null, this::readClock);
    /** The runners of the pools that this entry owns. */
    private final Map<String, PoolRunner> runners = new ConcurrentHashMap<>();

    /** What the search for the runner of a pool fails with. */
    private final Map<String, Throwable> failures = new ConcurrentHashMap<>();

    private final Set<String> askedPools = ConcurrentHashMap.newKeySet();

    private final ConfigurationStatus status = new ConfigurationStatus(service.context());
    private final JobRequestRouter router = new JobRequestRouter(
            service.context(),
            new OwnerCalls(service.context(), new LiveEntries(), null, this::localRunner, () -> true),
            status);

    @BeforeEach
    void confirm() {
        status.confirmed(service.context().now());
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void missingQueueIsUncertainWhileTheConfigurationIsUnconfirmed() {
        router.configure(configuration());
        assertTrue(router.route("host", "/other/1").current());
        clock.addAndGet(2_001);
        JobIngress.Route route = router.route("host", "/other/1");
        assertTrue(route.configured());
        assertFalse(route.current());
        assertEquals(Optional.empty(), route.queue());
    }

    @Test
    void knownQueueMayHaveBeenRemovedWhileTheConfigurationIsUnconfirmed() {
        router.configure(configuration());
        assertTrue(router.route("host", "/q/1").current());
        clock.addAndGet(2_001);
        JobIngress.Route route = router.route("host", "/q/1");
        assertFalse(route.current());
        assertEquals(Optional.of("q"), route.queue());
        assertEquals("1", route.job());
    }

    @Test
    void readThatWasUnderWayWhenTheConfigurationBecameUnconfirmedIsRefused() {
        router.configure(configuration());
        CompletableFuture<JobReply> reply = router.queuedJobs("q", 3_000);
        for (int i = 0; i < 30 && !reply.isDone(); i++) {
            clock.addAndGet(100);
            service.runWithTimers(() -> {});
        }
        assertEquals("no-owner", reply.join().reason());
        CompletableFuture<JobReply> late = router.queuedJobs("q", 3_000);
        status.invalidate();
        for (int i = 0; i < 30 && !late.isDone(); i++) {
            clock.addAndGet(100);
            service.runWithTimers(() -> {});
        }
        assertEquals(JobReplyStatus.UNAVAILABLE, late.join().status());
        assertEquals("configuration-unconfirmed", late.join().reason());
    }

    /** Guards against a confirmation of a newer configuration that is taken for one of the configuration used. */
    @Test
    void queueOfAConfigurationAppliedMeanwhileIsNotReportedMissing() {
        router.configure(withoutQueues(1));
        atClockReading.set(() -> router.configure(configuration()));
        JobIngress.Route route = router.route("host", "/q/1");
        assertTrue(route.current());
        assertEquals(Optional.of("q"), route.queue());
    }

    /** Guards against a read that is answered for a queue that was removed while its owner was asked. */
    @Test
    void readOfAQueueThatWasRemovedMeanwhileFindsNoQueue() {
        router.configure(configuration());
        CompletableFuture<JobReply> count = router.queuedJobs("q", 3_000);
        CompletableFuture<JobReply> phase = router.phase("q", "1", Caller.UNIDENTIFIED, 3_000);
        service.run(() -> router.configure(withoutQueues(2)));
        for (int i = 0; i < 30 && !(count.isDone() && phase.isDone()); i++) {
            clock.addAndGet(100);
            service.runWithTimers(() -> {});
        }
        assertEquals(JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue"), count.join());
        assertEquals(JobReply.of(JobReplyStatus.NO_QUEUE, "unknown-queue"), phase.join());
    }

    /** Guards against NO_JOB for a job in a former pool whose owner is not heard. */
    @Test
    void jobThatAFormerOwnerMayHaveIsNotReportedMissing() {
        moveQueue(Set.of("pool", "former"));
        openEmptyPool("pool");
        JobReply refusal = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000);
        assertEquals(refusal, await(router.phase("q", "1", Caller.UNIDENTIFIED, 3_000)));
        assertEquals(refusal, await(router.cancel("q", "1", Caller.UNIDENTIFIED, 3_000)));
        openEmptyPool("former");
        JobReply missing = JobReply.of(JobReplyStatus.NO_JOB, "unknown-job");
        assertEquals(missing, await(router.phase("q", "1", Caller.UNIDENTIFIED, 3_000)));
        assertEquals(missing, await(router.cancel("q", "1", Caller.UNIDENTIFIED, 3_000)));
    }

    /** Guards against a former owner that uses the deadline anew, so that the caller no longer waits. */
    @Test
    void formerOwnersShareTheDeadlineWithTheOwner() {
        moveQueue(Set.of("pool", "former"));
        CompletableFuture<JobReply> reply = router.phase("q", "1", Caller.UNIDENTIFIED, 2_000);
        advance(1_000);
        assertFalse(reply.isDone(), "the queue's pool has no owner yet");
        openEmptyPool("pool");
        advance(900);
        assertEquals(JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000), reply.getNow(null));
    }

    /** Guards against a queue that is refused for ever because its former pool was removed. */
    @Test
    void formerPoolThatWasRemovedIsNotAwaited() {
        moveQueue(Set.of("pool"));
        openEmptyPool("pool");
        assertEquals(
                JobReplyStatus.UNAVAILABLE,
                await(router.phase("q", "1", Caller.UNIDENTIFIED, 3_000)).status(),
                "its owner may renew its claim");
        CompletableFuture<JobReply> reply = router.phase("q", "1", Caller.UNIDENTIFIED, 3_000);
        service.run(() -> {});
        assertEquals(JobReply.of(JobReplyStatus.NO_JOB, "unknown-job"), reply.getNow(null));
    }

    /** Guards against NO_JOB for a job in the pool to which the queue was moved back while another owner was asked. */
    @Test
    void jobOfAQueueThatIsMovedBackMeanwhileIsNotReportedMissing() {
        Set<String> pools = Set.of("pool", "former");
        moveQueue(pools);
        CompletableFuture<JobReply> phase = router.phase("q", "1", Caller.UNIDENTIFIED, 3_000);
        CompletableFuture<JobReply> cancel = router.cancel("q", "1", Caller.UNIDENTIFIED, 3_000);
        advance(100);
        service.run(() -> router.configure(configuration(3, "former", pools)));
        openEmptyPool("pool");
        JobReply refusal = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "no-owner", 1_000);
        assertEquals(refusal, await(phase));
        assertEquals(refusal, await(cancel));
    }

    /** Guards against a job that is stored twice, as its queue is moved while the owners of former pools are asked. */
    @Test
    void ownerOfThePoolThatAQueueLeavesMeanwhileIsAskedBeforeASubmission() {
        Set<String> pools = Set.of("pool", "former", "next");
        moveQueue(pools);
        CompletableFuture<JobReply> reply = router.submit(job(), Caller.UNIDENTIFIED, 3_000);
        advance(100);
        service.run(() -> router.configure(configuration(3, "next", pools)));
        openEmptyPool("former");
        await(reply);
        assertTrue(askedPools.contains("pool"), "asked " + askedPools);
        assertFalse(askedPools.contains("next"), "asked " + askedPools);
    }

    /** Guards against requests that nobody answers after a step for them has failed. */
    @Test
    void requestIsUncertainIfAStepForItFails() {
        moveQueue(Set.of("pool"));
        openEmptyPool("pool");
        JobReply internal = JobReply.of(JobReplyStatus.UNCERTAIN, "internal");
        for (Throwable failure : List.of(new IllegalStateException("test"), new StackOverflowError())) {
            failures.put("former", failure);
            assertEquals(internal, await(router.submit(job(), Caller.UNIDENTIFIED, 3_000)));
            assertEquals(internal, await(router.phase("q", "1", Caller.UNIDENTIFIED, 3_000)));
            assertEquals(internal, await(router.cancel("q", "1", Caller.UNIDENTIFIED, 3_000)));
        }
    }

    /** Guards against requests without an answer while the service's thread is behind or blocked, or after it has ended. */
    @Test
    @Timeout(20)
    void requestThatTheServicesThreadDoesNotBeginIsRefusedInTime() {
        router.configure(configuration());
        CountDownLatch blocked = new CountDownLatch(1);
        service.context().execute(() -> awaitUnchecked(blocked));
        JobReply refusal = JobReply.refusal(JobReplyStatus.UNAVAILABLE, "service-behind", 1_000);
        for (CompletableFuture<JobReply> reply : List.of(
                router.submit(job(), Caller.UNIDENTIFIED, 300),
                router.phase("q", "1", Caller.UNIDENTIFIED, 300),
                router.cancel("q", "1", Caller.UNIDENTIFIED, 300),
                router.queuedJobs("q", 300))) {
            assertEquals(
                    refusal, reply.completeOnTimeout(null, 5, TimeUnit.SECONDS).join());
        }
        blocked.countDown();
        service.run(() -> {});
        assertEquals(0, router.unansweredCount(), "a refused request is not begun");
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static JobSpec job() {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 128, 0))
                .estimateMillis(100)
                .build();
        return new JobSpec("1", "q", "text", List.of(step), JobSpec.Schedule.ONCE);
    }

    private void moveQueue(Set<String> pools) {
        service.run(() -> router.configure(configuration(1, "former", Set.of("former"))));
        service.run(() -> router.configure(configuration(2, "pool", pools)));
    }

    private void openEmptyPool(String pool) {
        runners.put(pool, new PoolRunner(pool, 1, service.context(), null, ConfigurationGuard.NONE, () -> {}));
    }

    private Optional<PoolRunner> localRunner(String pool) {
        askedPools.add(pool);
        Throwable failure = failures.get(pool);
        if (failure instanceof Error error) {
            throw error;
        } else if (failure != null) {
            throw (RuntimeException) failure;
        }
        return Optional.ofNullable(runners.get(pool));
    }

    private JobReply await(CompletableFuture<JobReply> reply) {
        for (int i = 0; i < 30 && !reply.isDone(); i++) {
            advance(100);
        }
        return reply.getNow(null);
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            clock.addAndGet(100);
            status.confirmed(service.context().now());
            service.runWithTimers(() -> {});
        }
    }

    private long readClock() {
        Runnable step = Thread.currentThread() == testThread ? atClockReading.getAndSet(null) : null;
        if (step != null) {
            step.run();
        }
        return clock.get();
    }

    private static JobConfiguration withoutQueues(long version) {
        return new JobConfiguration(version, Map.of(), Set.of("pool"), Set.of(), 1_000, Teams.NONE);
    }

    private static JobConfiguration configuration() {
        return configuration(1, "pool", Set.of("pool"));
    }

    private static JobConfiguration configuration(long version, String pool, Set<String> pools) {
        QueueConfig queue = new QueueConfig("q", "host", "/q/", pool, 0, 1, 1, 1_000, Optional.empty(), false);
        return new JobConfiguration(version, Map.of("q", queue), pools, Set.of(), 1_000, Teams.NONE);
    }
}
