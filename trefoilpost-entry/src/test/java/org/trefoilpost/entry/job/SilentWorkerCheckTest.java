package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Silent workers whose machines a list lacks.
 */
public class SilentWorkerCheckTest {
    private final AtomicInteger listCalls = new AtomicInteger();
    private final TestService service =
            new TestService(new MemoryStore(), new EmptyOnceMachines(), new UnusedFormats());
    private final List<String> ended = new ArrayList<>();
    private volatile MachinePort.State state = MachinePort.State.UP;

    @AfterEach
    void stop() {
        service.close();
    }

    /** Guards against runs that are started again beside the first ones, because one list was empty. */
    @Test
    void workerThatOneListLacksHasNotEnded() throws InterruptedException {
        SilentWorkerCheck check = new SilentWorkerCheck(service.context(), (worker, reason) -> ended.add(worker));
        for (int i = 0; i < 60 && listCalls.get() < 2; i++) {
            service.run(() -> check.run(Set.of("w1"), service.context().now().steadyMillis()));
            Thread.sleep(50);
        }
        assertEquals(List.of(), ended);
        assertEquals(1, service.countDecisions("silent-worker-listed"));
    }

    /** Guards against tasks that wait for a worker whose machine is known to be down (review case 13). */
    @Test
    void workerWhoseMachineIsDownHasEnded() throws InterruptedException {
        state = MachinePort.State.DOWN;
        assertEquals(List.of("w1"), endedAfterLists(3));
    }

    @Test
    void workerWhoseMachineIsInAnUnknownStateHasNotEnded() throws InterruptedException {
        state = MachinePort.State.UNKNOWN;
        assertEquals(List.of(), endedAfterLists(3));
    }

    private List<String> endedAfterLists(int lists) throws InterruptedException {
        SilentWorkerCheck check = new SilentWorkerCheck(service.context(), (worker, reason) -> ended.add(worker));
        for (int i = 0; i < 60 && ended.isEmpty() && listCalls.get() < lists; i++) {
            service.run(() -> check.run(Set.of("w1"), service.context().now().steadyMillis()));
            Thread.sleep(50);
        }
        return List.copyOf(ended);
    }

    /**
     * A machine whose first list lacks it.
     */
    private final class EmptyOnceMachines implements MachinePort {
        @Override
        public CompletableFuture<List<Machine>> list() {
            return CompletableFuture.completedFuture(
                    listCalls.incrementAndGet() == 1
                            ? List.of()
                            : List.of(new Machine("m1", "a", state, "w1", 32_000)));
        }

        @Override
        public CompletableFuture<Outcome> move(String machine, String pool, Authority authority) {
            return CompletableFuture.completedFuture(Outcome.REFUSED);
        }

        @Override
        public CompletableFuture<Outcome> beginUpkeep(String machine, long wave, Authority authority) {
            return CompletableFuture.completedFuture(Outcome.REFUSED);
        }
    }
}
