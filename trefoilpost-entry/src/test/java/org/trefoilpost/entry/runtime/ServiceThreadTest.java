package org.trefoilpost.entry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ServiceThreadTest {
    private static final long WAIT_SECONDS = 20;

    private final ServiceThread<Runnable> serviceThread = ServiceThread.of("test", 4, MillisClock.steady());

    @AfterEach
    void close() {
        serviceThread.close();
    }

    @Test
    void refusesOffersWhenFullButAcceptsPosts() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch handlerEntered = new CountDownLatch(1);
        serviceThread.start((event, now) -> event.run());
        serviceThread.offer(() -> {
            handlerEntered.countDown();
            awaitQuietly(release);
        });
        handlerEntered.await();
        AtomicInteger handled = new AtomicInteger();
        int taken = 0;
        while (serviceThread.offer(handled::incrementAndGet)) {
            taken++;
        }
        assertEquals(4, taken);
        CountDownLatch completed = new CountDownLatch(1);
        serviceThread.post(completed::countDown);
        release.countDown();
        assertTrue(completed.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void handlesEveryEventPostedByConcurrentThreads() throws Exception {
        int threads = 4;
        int each = 5_000;
        AtomicInteger handled = new AtomicInteger();
        CountDownLatch all = new CountDownLatch(threads * each);
        serviceThread.start((event, now) -> event.run());
        for (int i = 0; i < threads; i++) {
            new Thread(() -> {
                        for (int j = 0; j < each; j++) {
                            serviceThread.post(() -> {
                                handled.incrementAndGet();
                                all.countDown();
                            });
                        }
                    })
                    .start();
        }
        assertTrue(all.await(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(threads * each, handled.get());
    }

    /** Guards against a thread that ends with an error, so that all later requests wait for ever. */
    @Test
    void handlesFurtherEventsAfterAnError() throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        serviceThread.start((event, now) -> event.run());
        serviceThread.post(ServiceThreadTest::recurseEndlessly);
        serviceThread.post(() -> {
            throw new OutOfMemoryError("Requested array size exceeds VM limit");
        });
        serviceThread.post(() -> {
            throw new AssertionError("unexpected state");
        });
        serviceThread.post(handled::countDown);
        assertTrue(handled.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @SuppressWarnings("InfiniteRecursion")
    private static int recurseEndlessly() {
        return 1 + recurseEndlessly();
    }

    @Test
    void firesTimersInOrderAndContinuesAfterAHandlerFails() throws Exception {
        List<String> fired = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(2);
        serviceThread.start((event, now) -> event.run());
        serviceThread.post(() -> {
            long now = MillisClock.steady().nowMillis();
            serviceThread.schedule(now + 40, () -> {
                fired.add("late");
                done.countDown();
            });
            serviceThread.schedule(now + 10, () -> {
                fired.add("early");
                done.countDown();
                throw new IllegalStateException("a handler failed");
            });
        });
        assertTrue(done.await(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of("early", "late"), fired);
    }

    @Test
    void refusesOffersOnceClosed() {
        serviceThread.close();
        assertFalse(serviceThread.offer(() -> {}));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
