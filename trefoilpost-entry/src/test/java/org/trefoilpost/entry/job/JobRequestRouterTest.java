package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.team.Teams;

class JobRequestRouterTest {
    private static final long CONFIRMED_MILLIS = 1_000_000;

    private final AtomicLong clock = new AtomicLong(CONFIRMED_MILLIS);
    private final TestService service = new TestService(new MemoryStore(), null, null, clock::get);
    private final ConfigurationStatus status = new ConfigurationStatus(service.context());
    private final JobRequestRouter router = new JobRequestRouter(
            service.context(),
            new OwnerCalls(service.context(), new LiveEntries(), null, pool -> Optional.empty()),
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

    private static JobConfiguration configuration() {
        QueueConfig queue = new QueueConfig("q", "host", "/q/", "pool", 0, 1, 1, 1_000, Optional.empty(), false);
        return new JobConfiguration(1, Map.of("q", queue), Set.of("pool"), Set.of(), 1_000, Teams.NONE);
    }
}
