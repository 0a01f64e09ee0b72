package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.emulator.PoolScenario;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Guards against a scheduled task that a successor starts while an order for it, which its predecessor gave before it had
 * stored the occurrence, may still be carried out.
 */
class InheritedOccurrenceTest {
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";
    private static final long DUE_IN_MILLIS = 400;
    private static final long INTERVAL_MILLIS = 60_000;
    private static final long LEASE_MILLIS = 5_000;
    /** The time in which a predecessor without the store may give orders, and the lease of the last of them lapses. */
    private static final long PREDECESSOR_MILLIS = PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS + LEASE_MILLIS;

    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private RecordedActions actions;
    private PoolScheduler scheduler;

    @Test
    void occurrenceThatThePredecessorMayHaveOpenedWaitsForASilentWorker() {
        storeAScheduledJob();
        open();
        report("w1", List.of(), List.of());
        advanceTo(now.plus(2_000));
        assertEquals(List.of(), startedTasks(), "w2 may be running the task");
        Moment limit = now.plus(2 * PREDECESSOR_MILLIS);
        while (startedTasks().isEmpty() && now.steadyMillis() < limit.steadyMillis()) {
            advance();
            report("w1", List.of(), List.of());
        }
        assertEquals(List.of(TASK), startedTasks(), "the lease of w2 has lapsed");
    }

    @Test
    void occurrenceStartsAtOnceWhenAllWorkersHaveReported() {
        storeAScheduledJob();
        open();
        report("w1", List.of(), List.of());
        report("w2", List.of(), List.of());
        advanceTo(now.plus(DUE_IN_MILLIS));
        assertEquals(List.of(TASK), startedTasks());
    }

    @Test
    void runOfAnOccurrenceThatIsNotDueByTheSuccessorsClockIsAdopted() {
        storeAScheduledJob();
        open();
        report("w1", List.of(), List.of());
        report("w2", List.of(new WorkerRunStatus.Running(TASK, 1, "", 10, 0)), List.of());
        advanceTo(now.plus(2 * DUE_IN_MILLIS));
        assertEquals(List.of(), startedTasks());
        assertFalse(sent.stream().anyMatch(WorkerOrder.Stop.class::isInstance), "the run is wanted");
    }

    @Test
    void endOfAnOccurrenceThatIsNotDueByTheSuccessorsClockCounts() {
        storeAScheduledJob();
        open();
        report("w1", List.of(), List.of());
        report("w2", List.of(), List.of(new WorkerRunStatus.Ended(1, TASK, 1, RunEnd.DONE, "")));
        advanceTo(now.plus(2 * DUE_IN_MILLIS));
        assertEquals(List.of(), startedTasks());
    }

    @Test
    void occurrencesThatNobodyCanHaveOpenedAreIgnored() {
        storeAScheduledJob();
        open();
        report(
                "w1",
                List.of(
                        new WorkerRunStatus.Running(JOB + ".2.0.0", 1, "", 10, 0),
                        new WorkerRunStatus.Running(JOB + ".2147483647.0.0", 1, "", 10, 0)),
                List.of());
        advance();
        assertTrue(sent.stream().filter(WorkerOrder.Stop.class::isInstance).count() >= 2, "both are stopped");
    }

    @Test
    void scheduledJobsBesideReplacedOwnersAndSilentWorkers() {
        for (long seed = 1400; seed < 1480; seed++) {
            assertEquals("", PoolScenario.scheduledJobsAndOwnersReplaced(seed).violations(), "seed " + seed);
        }
    }

    /** Stores a job whose first occurrence is not due yet, as the predecessor did last. */
    private void storeAScheduledJob() {
        open();
        report("w1", List.of(), List.of());
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        JobSpec.Schedule schedule = new JobSpec.Schedule(now.wallMillis() + DUE_IN_MILLIS, INTERVAL_MILLIS, 2);
        scheduler.submit(new JobSpec(JOB, "q", "text", List.of(step), schedule), true, now);
        advance();
        stored.putAll(actions.lastCommit().puts());
    }

    private void open() {
        sent.clear();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", new PoolTimeouts(LEASE_MILLIS, 10_000, 120_000, 2_000), actions);
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        scheduler.load(Map.copyOf(stored), now);
        scheduler.open(List.of(worker("w1"), worker("w2")), List.of(), now.steadyMillis(), now);
        scheduler.tick(OrderPermission.ALL, now);
    }

    private static RegisteredWorker worker(String id) {
        return new RegisteredWorker(
                id,
                "m-" + id,
                "pool",
                WorkerAddress.of("10.0.0.1", 80),
                "dc",
                List.of(),
                new ResourceAmount(8_000, 8_000, 0),
                false);
    }

    private void report(String worker, List<WorkerRunStatus.Running> running, List<WorkerRunStatus.Ended> ended) {
        scheduler.statusReceived(worker, new WorkerRunStatus(now.steadyMillis(), running, ended), now);
    }

    private void advance() {
        now = now.plus(100);
        List.copyOf(sent).stream()
                .filter(order ->
                        order instanceof WorkerOrder.Hold && order.worker().equals("w2"))
                .forEach(order -> {
                    sent.remove(order);
                    scheduler.orderAnswered(order, OrderResult.NO_ANSWER, now);
                });
        scheduler.tick(OrderPermission.ALL, now);
    }

    private void advanceTo(Moment until) {
        while (now.steadyMillis() < until.steadyMillis()) {
            advance();
        }
    }

    private List<String> startedTasks() {
        return sent.stream()
                .filter(WorkerOrder.Start.class::isInstance)
                .map(order -> ((WorkerOrder.Start) order).task().text())
                .toList();
    }
}
