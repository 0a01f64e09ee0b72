package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.team.Teams;

class JobRequestRouterTest {
    private static final long CONFIRMED_MILLIS = 1_000_000;

    private final AtomicLong clock = new AtomicLong(CONFIRMED_MILLIS);
    private final TestService service = new TestService(new MemoryStore(), null, null, clock::get);
    private final JobRequestRouter router = new JobRequestRouter(service.context(), null, () -> CONFIRMED_MILLIS);

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
    void requestsForKnownQueuesAreRoutedWhileTheConfigurationIsUnconfirmed() {
        router.configure(configuration());
        clock.addAndGet(60_000);
        JobIngress.Route route = router.route("host", "/q/1");
        assertEquals(Optional.of("q"), route.queue());
        assertEquals("1", route.job());
    }

    private static JobConfiguration configuration() {
        QueueConfig queue = new QueueConfig("q", "host", "/q/", "pool", 0, 1, 1, 1_000, Optional.empty(), false);
        return new JobConfiguration(1, Map.of("q", queue), Set.of("pool"), Set.of(), 1_000, Teams.NONE);
    }
}
