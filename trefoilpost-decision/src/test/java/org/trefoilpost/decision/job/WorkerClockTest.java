package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

class WorkerClockTest {
    private static final long CLOCK = 500_000;
    private static final long LEASE_MILLIS = 5_000;
    /** A suspension of this process, which its steady clock does not count. */
    private static final long SUSPENSION_MILLIS = 6_000;

    private static final long TICK_MILLIS = 100;
    private static final int TICKS = 30;
    private static final ResourceAmount SIZE = new ResourceAmount(4_000, 8_000, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final RecordedActions actions = new RecordedActions(sent);
    private final PoolScheduler scheduler =
            new PoolScheduler("pool", new PoolTimeouts(LEASE_MILLIS, 10_000, 120_000, 2_000), actions);
    private Moment now = new Moment(1_000_000, 2_000_000);
    private long suspendedMillis;
    private boolean started;

    @BeforeEach
    void openAPoolWithOneIdleWorker() {
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        RegisteredWorker worker = new RegisteredWorker(
                "w", "m", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("r"), SIZE, false, 0);
        scheduler.open(List.of(worker), List.of(), now.steadyMillis(), now);
        tickAndAnswer();
        tickAndAnswer();
    }

    /** Guards against a worker whose clock was read before a suspension, and that refuses all starts as late for good. */
    @Test
    void idleWorkerThatRefusesAStartAsLateIsAskedForItsClock() {
        suspendedMillis = SUSPENSION_MILLIS;
        scheduler.submit(
                new JobSpec(
                        "0123456789abcdef",
                        "q",
                        "text",
                        List.of(StepSpec.builder()
                                .tasks(1, SIZE)
                                .estimateMillis(1_000)
                                .build()),
                        JobSpec.Schedule.ONCE),
                true,
                now);
        for (int i = 0; i < TICKS && !started; i++) {
            tickAndAnswer();
        }
        assertTrue(started, "every start is refused as late");
    }

    /** Lets time pass, and the store and the worker answer what was sent. */
    private void tickAndAnswer() {
        now = now.plus(TICK_MILLIS);
        scheduler.tick(OrderPermission.ALL, now);
        actions.takeCommit().ifPresent(number -> scheduler.commitStored(number, now));
        List<WorkerOrder> orders = List.copyOf(sent);
        sent.clear();
        orders.forEach(this::answer);
    }

    private void answer(WorkerOrder order) {
        long clock = CLOCK + now.steadyMillis() + suspendedMillis;
        if (order instanceof WorkerOrder.Hold) {
            scheduler.statusReceived("w", new WorkerRunStatus(clock, List.of(), List.of(), 0), now);
        } else if (order instanceof WorkerOrder.Start start) {
            started = start.leaseUntilMillis() > clock;
            scheduler.orderAnswered(order, started ? OrderResult.OK : OrderResult.LEASE_PASSED, now);
        }
        assertEquals("w", order.worker());
    }
}
