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

/** Guards against tasks that have ended done and run again, because a worker lists only its oldest run ends at a time. */
class PartialStatusTest {
    private static final String JOB = "0123456789abcdef";
    private static final int TASKS = 4;
    private static final int ROUNDS = 6;
    private static final long LEASE_MILLIS = 5_000;
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private RecordedActions actions;
    private PoolScheduler scheduler;
    private List<WorkerOrder> orders = List.of();

    @Test
    void runThatAPartialStatusDoesNotListKeepsItsTaskAndItsRoom() {
        openWithOneWorker();
        submit();
        startAll();
        for (int i = 0; i < ROUNDS; i++) {
            report(ends(1), false);
            assertEquals(List.of(), starts(), "round " + i);
        }
        report(ends(TASKS), true);
        storeChanges();
        storeChanges();
        assertEquals(Optional.of(JobPhase.COMPLETED), scheduler.phase(JOB));
    }

    @Test
    void runThatCompleteStatusesDoNotListStartsAgain() {
        openWithOneWorker();
        submit();
        startAll();
        report(ends(TASKS - 1), true);
        report(ends(TASKS - 1), true);
        assertEquals(List.of(JOB + ".0.0." + (TASKS - 1)), startedTasks());
    }

    @Test
    void stoppedRunThatAPartialStatusDoesNotListIsNotForgotten() {
        openWithOneWorker();
        submit();
        WorkerOrder.Start unanswered = startAllButTheLast();
        scheduler.orderAnswered(unanswered, OrderResult.NO_ANSWER, now);
        for (int i = 0; i < ROUNDS; i++) {
            report(ends(1), false);
            orders.stream()
                    .filter(WorkerOrder.Stop.class::isInstance)
                    .forEach(stop -> scheduler.orderAnswered(stop, OrderResult.OK, now));
            assertEquals(List.of(), starts(), "round " + i);
        }
    }

    /** A successor learns the ends that its predecessor could not acknowledge in parts too. */
    @Test
    void successorStartsNothingThatMayHaveEndedBeforeItKnowsAllEnds() {
        openWithOneWorker();
        submit();
        startAll();
        scheduler.tick(OrderPermission.ALL, now);
        storeChanges();
        openWithOneWorker();
        for (int i = 0; i < ROUNDS; i++) {
            report(ends(TASKS - 1), false);
            storeChanges();
            assertEquals(List.of(), starts(), "round " + i);
        }
        report(ends(TASKS - 1), true);
        assertEquals(List.of(JOB + ".0.0." + (TASKS - 1)), startedTasks());
    }

    @Test
    void runThatMayHaveEndedIsNotStalled() {
        openWithOneWorker();
        submit();
        startAll();
        for (int i = 0; i < 10 * ROUNDS; i++) {
            report(ends(1), false);
            assertFalse(orders.stream().anyMatch(WorkerOrder.Stop.class::isInstance), "round " + i);
        }
    }

    @Test
    void idleWorkerWhoseStatusWasPartialIsAskedForTheRest() {
        openWithOneWorker();
        report(List.of(), false);
        assertTrue(orders.stream().anyMatch(WorkerOrder.Hold.class::isInstance));
    }

    @Test
    void storeAndOwnersFailWhileWorkersListFewEnds() {
        for (long seed = 1300; seed < 1340; seed++) {
            assertEquals("", PoolScenario.endsListedInParts(seed, 3).violations(), "seed " + seed);
        }
    }

    private void openWithOneWorker() {
        sent.clear();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", new PoolTimeouts(LEASE_MILLIS, 10_000, 120_000, 2_000), actions);
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        RegisteredWorker worker = new RegisteredWorker(
                "w",
                "m",
                "pool",
                WorkerAddress.of("10.0.0.1", 80),
                "dc",
                List.of(),
                new ResourceAmount(8_000, 8_000, 0),
                false);
        scheduler.load(Map.copyOf(stored), now);
        scheduler.open(List.of(worker), List.of(), now.steadyMillis(), now);
        advance();
    }

    private void submit() {
        report(List.of(), true);
        StepSpec step = StepSpec.builder()
                .tasks(TASKS, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        scheduler.submit(new JobSpec(JOB, "q", "text", List.of(step), JobSpec.Schedule.ONCE), true, now);
        storeChanges();
    }

    private void startAll() {
        scheduler.orderAnswered(startAllButTheLast(), OrderResult.OK, now);
    }

    private WorkerOrder.Start startAllButTheLast() {
        advance();
        List<WorkerOrder.Start> starts = starts();
        assertEquals(TASKS, starts.size());
        starts.subList(0, TASKS - 1).forEach(start -> scheduler.orderAnswered(start, OrderResult.OK, now));
        return starts.get(TASKS - 1);
    }

    private void report(List<WorkerRunStatus.Ended> ended, boolean complete) {
        advance();
        scheduler.statusReceived("w", new WorkerRunStatus(now.steadyMillis(), List.of(), ended, 0, complete), now);
        advance();
    }

    private static List<WorkerRunStatus.Ended> ends(int count) {
        List<WorkerRunStatus.Ended> ended = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ended.add(new WorkerRunStatus.Ended(i + 1, JOB + ".0.0." + i, 1, RunEnd.DONE, ""));
        }
        return ended;
    }

    private void advance() {
        sent.clear();
        now = now.plus(200);
        scheduler.tick(OrderPermission.ALL, now);
        orders = List.copyOf(sent);
    }

    private void storeChanges() {
        advance();
        actions.takeCommit().ifPresent(number -> {
            stored.putAll(actions.lastCommit().puts());
            scheduler.commitStored(number, now);
        });
    }

    private List<WorkerOrder.Start> starts() {
        return orders.stream()
                .filter(WorkerOrder.Start.class::isInstance)
                .map(WorkerOrder.Start.class::cast)
                .toList();
    }

    private List<String> startedTasks() {
        return starts().stream().map(start -> start.task().text()).toList();
    }
}
