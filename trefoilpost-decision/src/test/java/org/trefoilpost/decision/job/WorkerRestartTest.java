package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Guards against work that runs twice, or is lost, because a worker restarts under its identifier.
 */
class WorkerRestartTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final long REBORN = BORN + 9_000;
    private static final long CLOCK = 500_000;
    private static final ResourceAmount SIZE = new ResourceAmount(4_000, 8_000, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";

    private final Actions actions = new Actions();
    private final PoolScheduler scheduler =
            new PoolScheduler("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), actions);
    private Moment now = new Moment(1_000_000, 2_000_000);

    @BeforeEach
    void openAPoolWithOneWorker() {
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        scheduler.open(List.of(registration(BORN)), List.of(), now.steadyMillis(), now);
        tick();
        status(BORN, CLOCK, List.of(), List.of());
        tick();
        scheduler.submit(
                new JobSpec(
                        JOB,
                        "q",
                        "text",
                        List.of(StepSpec.builder()
                                .tasks(1, SIZE)
                                .estimateMillis(1_000)
                                .build()),
                        JobSpec.Schedule.ONCE),
                true,
                now);
        store();
    }

    /** Guards against runs that stay on the books, and capacity that stays in use, after the restart. */
    @Test
    void runsEndWithTheirIncarnationAndStartAgain() {
        runTheTask();
        register(REBORN);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size(), "no work before a hold is answered");
        status(REBORN, 5, List.of(), List.of());
        tick();
        WorkerOrder.Start again = actions.lastOf(WorkerOrder.Start.class);
        assertEquals(2, again.run());
        assertTrue(again.leaseUntilMillis() < CLOCK, "the lease is on the clock of the new incarnation");
        Map<String, Object> restart = actions.restarts.get(0).inputs();
        assertEquals(
                List.of("registered-again", REBORN, BORN, 0L),
                List.of(
                        restart.get("reason"),
                        restart.get("born"),
                        restart.get("formerBorn"),
                        restart.get("pauseMillis")));
    }

    /** Guards against a restart that only the hold shows, as the registry lags behind. */
    @Test
    void theAnswerToAHoldShowsTheRestart() {
        runTheTask();
        tickAfter(900);
        status(REBORN, 5, List.of(), List.of());
        tick();
        assertEquals(2, actions.lastOf(WorkerOrder.Start.class).run());
    }

    /** Guards against a start that is refused again and again, as the clock that it names is not read anew. */
    @Test
    void startForAFormerIncarnationIsSentAgainByTheClockOfThePresentOne() {
        tick();
        WorkerOrder.Start start = actions.lastOf(WorkerOrder.Start.class);
        assertEquals(new WorkerIncarnation(BORN), start.incarnation());
        answer(start, OrderResult.OTHER_INCARNATION);
        tick();
        status(REBORN, 5, List.of(), List.of());
        tick();
        WorkerOrder.Start again = actions.lastOf(WorkerOrder.Start.class);
        assertEquals(new WorkerIncarnation(REBORN), again.incarnation());
        assertTrue(again.leaseUntilMillis() < CLOCK, "the lease is on the clock of the new incarnation");
    }

    /** Guards against ends that are ignored because the previous incarnation has counted beyond their numbers. */
    @Test
    void endNumbersBeginAgain() {
        runTheTask();
        tickAfter(900);
        status(BORN, CLOCK + 900, List.of(), List.of(ended(7, 1, RunEnd.FAILED)));
        store();
        register(REBORN);
        status(REBORN, 5, List.of(), List.of());
        tick();
        answer(actions.lastOf(WorkerOrder.Start.class), OrderResult.OK);
        tickAfter(900);
        status(REBORN, 905, List.of(), List.of(ended(1, 2, RunEnd.DONE)));
        store();
        assertEquals(Optional.of(JobPhase.COMPLETED), scheduler.phase(JOB));
    }

    /** Guards against a worker that discards its own ends because the previous incarnation's are acknowledged to it. */
    @Test
    void endsOfThePreviousIncarnationAreNotAcknowledgedToTheNewOne() {
        runTheTask();
        tickAfter(900);
        status(BORN, CLOCK + 900, List.of(), List.of(ended(7, 1, RunEnd.FAILED)));
        tickAfter(200);
        assertEquals(1, actions.unstoredCommits(), "the commit that covers the end is in flight");
        register(REBORN);
        store();
        status(REBORN, 5, List.of(), List.of());
        tickAfter(400);
        answer(actions.lastOf(WorkerOrder.Start.class), OrderResult.OK);
        tickAfter(400);
        tickAfter(900);
        assertEquals(0, actions.lastOf(WorkerOrder.Hold.class).lastEnd());
    }

    /** Guards against a hold whose acknowledgement reaches an incarnation that nobody knows of yet. */
    @Test
    void nothingIsAcknowledgedAfterAnUnansweredCall() {
        runTheTask();
        tickAfter(900);
        status(BORN, CLOCK + 900, List.of(), List.of(ended(7, 1, RunEnd.FAILED)));
        store();
        tickAfter(50);
        answer(actions.lastOf(WorkerOrder.Hold.class), OrderResult.NO_ANSWER);
        tickAfter(300);
        assertEquals(0, actions.lastOf(WorkerOrder.Hold.class).lastEnd());
        status(BORN, CLOCK + 1_300, List.of(), List.of(ended(7, 1, RunEnd.FAILED)));
        tick();
        assertEquals(7, actions.lastOf(WorkerOrder.Hold.class).lastEnd(), "acknowledged after an answered hold");
    }

    /** Guards against a late acknowledgement that makes the new incarnation discard the end of new work. */
    @Test
    void workerIsGivenNoWorkWhileALateAcknowledgementMayArrive() {
        runTheTask();
        tickAfter(900);
        status(BORN, CLOCK + 900, List.of(), List.of(ended(7, 1, RunEnd.FAILED)));
        store();
        answer(actions.lastOf(WorkerOrder.Start.class), OrderResult.OK);
        tickAfter(400);
        status(BORN, CLOCK + 1_700, List.of(running(2)), List.of(ended(7, 1, RunEnd.FAILED)));
        tick();
        WorkerOrder.Hold acknowledging = actions.lastOf(WorkerOrder.Hold.class);
        assertEquals(7, acknowledging.lastEnd());
        answer(acknowledging, OrderResult.NO_ANSWER);
        register(REBORN);
        actions.orders.clear();
        for (int i = 0; i < 14; i++) {
            status(REBORN, 5 + i * 1_000L, List.of(), List.of());
            tickAfter(1_000);
        }
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size());
        tickAfter(1_000);
        status(REBORN, 15_005, List.of(), List.of());
        tick();
        assertEquals(3, actions.lastOf(WorkerOrder.Start.class).run());
    }

    /** Guards against a status that brings the runs of an ended incarnation back. */
    @Test
    void lateStatusOfThePreviousIncarnationIsIgnored() {
        runTheTask();
        tickAfter(900);
        register(REBORN);
        status(BORN, CLOCK + 900, List.of(running(1)), List.of(ended(1, 1, RunEnd.DONE)));
        tick();
        assertEquals(Optional.of(JobPhase.RUNNING), scheduler.phase(JOB));
        assertEquals(
                0, actions.sent(WorkerOrder.Start.class).size(), "that status answers no hold of the new incarnation");
        status(REBORN, 5, List.of(), List.of());
        tick();
        assertEquals(2, actions.lastOf(WorkerOrder.Start.class).run());
    }

    /** Guards against a registry that lags behind the hold and ends the incarnation that is running. */
    @Test
    void lateRegistryEntryOfThePreviousIncarnationIsIgnored() {
        tickAfter(100);
        actions.sent(WorkerOrder.Start.class).forEach(start -> answer(start, OrderResult.LEASE_PASSED));
        tickAfter(500);
        status(REBORN, 5, List.of(), List.of());
        tick();
        answer(actions.lastOf(WorkerOrder.Start.class), OrderResult.OK);
        tickAfter(900);
        status(REBORN, 905, List.of(running(2)), List.of());
        actions.orders.clear();
        register(BORN);
        register(REBORN);
        tickAfter(900);
        status(REBORN, 1_805, List.of(running(2)), List.of());
        tick();
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size());
        assertEquals(0, actions.sent(WorkerOrder.Stop.class).size());
    }

    /** Guards against a task that runs twice because the new incarnation carries out a late start. */
    @Test
    void unansweredStartStaysUnresolvedUntilTheNewIncarnationHasStoppedIt() {
        WorkerOrder.Start start = startTheTask();
        tickAfter(700);
        answer(start, OrderResult.NO_ANSWER);
        register(REBORN);
        status(REBORN, 5, List.of(), List.of());
        tickAfter(20);
        status(REBORN, 25, List.of(), List.of());
        WorkerOrder.Stop stop = actions.lastOf(WorkerOrder.Stop.class);
        tickAfter(20);
        status(REBORN, 45, List.of(), List.of());
        tickAfter(20);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size(), "the stop is not answered");
        answer(stop, OrderResult.OK);
        tickAfter(20);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size(), "no list since the stop");
        tickAfter(200);
        status(REBORN, 265, List.of(), List.of());
        tickAfter(20);
        assertEquals(2, actions.lastOf(WorkerOrder.Start.class).run());
    }

    /** Guards against a start that is in flight during the restart, and counts as ended with the previous incarnation. */
    @Test
    void startInFlightSurvivesTheRestart() {
        WorkerOrder.Start start = startTheTask();
        register(REBORN);
        status(REBORN, 5, List.of(), List.of());
        tickAfter(100);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size());
        answer(start, OrderResult.OK);
        tickAfter(900);
        status(REBORN, 1_005, List.of(running(1)), List.of());
        tickAfter(20);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size(), "the new incarnation runs it");
        assertEquals(0, actions.sent(WorkerOrder.Stop.class).size());
    }

    /** Guards against a lease that a late order of the previous clock extends, so that a cut-off worker's run is doubled. */
    @Test
    void leaseCoversWhatALateOrderMayGrantOnTheNewClock() {
        runTheTask();
        tickAfter(900);
        answer(actions.lastOf(WorkerOrder.Hold.class), OrderResult.NO_ANSWER);
        register(REBORN);
        status(REBORN, 5, List.of(), List.of());
        tick();
        answer(actions.lastOf(WorkerOrder.Start.class), OrderResult.OK);
        tickAfter(100);
        status(REBORN, 105, List.of(running(2)), List.of());
        actions.orders.removeIf(WorkerOrder.Start.class::isInstance);
        for (int i = 0; i < 20; i++) {
            tickAfter(1_000);
            actions.sent(WorkerOrder.Hold.class).forEach(hold -> answer(hold, OrderResult.NO_ANSWER));
            actions.orders.clear();
        }
        assertEquals(Optional.of(JobPhase.RUNNING), scheduler.phase(JOB));
        assertTrue(scheduler.silentWorkers().contains("w"), "its run may go on under the lease of the late order");
    }

    /** Guards against a new owner that takes the status of a restarted worker for that of the listed incarnation. */
    @Test
    void newOwnerLearnsOfARestartFromTheFirstStatus() {
        runTheTask();
        store();
        byte[] document = actions.documents.get(JOB);
        Actions successorActions = new Actions();
        PoolScheduler successor =
                new PoolScheduler("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), successorActions);
        successor.configure(Map.of("q", QUEUE), Teams.NONE);
        successor.load(Map.of(JOB, document), now);
        successor.open(List.of(registration(BORN)), List.of(), now.steadyMillis(), now);
        successor.tick(OrderPermission.ALL, now);
        successor.statusReceived("w", new WorkerRunStatus(5, List.of(), List.of(), REBORN), now);
        successor.updateWorkers(List.of(registration(BORN)), now);
        successor.tick(OrderPermission.ALL, now);
        assertEquals(2, successorActions.lastOf(WorkerOrder.Start.class).run());
        assertEquals(0, successorActions.lastOf(WorkerOrder.Hold.class).lastEnd());
    }

    /** Guards against a start that the new incarnation has answered, unnoticed, and that counts as ended. */
    @Test
    void startThatNoStatusHasListedMayRunOnTheNewIncarnation() {
        answer(startTheTask(), OrderResult.OK);
        register(REBORN);
        tickAfter(20);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size());
        status(REBORN, 25, List.of(running(1)), List.of());
        tickAfter(20);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size());
        assertEquals(0, actions.sent(WorkerOrder.Stop.class).size());
    }

    /** Guards against a stop that the previous incarnation has answered, and of which the new one knows nothing. */
    @Test
    void answerToAStopSentBeforeTheRestartDoesNotCount() {
        WorkerOrder.Start start = startTheTask();
        tickAfter(700);
        answer(start, OrderResult.NO_ANSWER);
        scheduler.cancel(JOB, now);
        WorkerOrder.Stop before = actions.lastOf(WorkerOrder.Stop.class);
        register(REBORN);
        answer(before, OrderResult.OK);
        status(REBORN, 5, List.of(), List.of());
        actions.orders.clear();
        tickAfter(400);
        assertEquals(TASK, actions.lastOf(WorkerOrder.Stop.class).task(), "the new incarnation is told too");
    }

    /** Guards against a late start that the previous incarnation would have refused, and the new one carries out. */
    @Test
    void unansweredStartsThatThePreviousIncarnationStoppedAreStoppedAgain() {
        WorkerOrder.Start start = startTheTask();
        tickAfter(700);
        answer(start, OrderResult.NO_ANSWER);
        scheduler.cancel(JOB, now);
        answer(actions.lastOf(WorkerOrder.Stop.class), OrderResult.OK);
        tickAfter(20);
        status(BORN, CLOCK + 720, List.of(), List.of());
        tickAfter(20);
        status(BORN, CLOCK + 740, List.of(), List.of());
        actions.orders.clear();
        tickAfter(400);
        assertEquals(0, actions.sent(WorkerOrder.Stop.class).size());
        register(REBORN);
        assertEquals(0, actions.restarts.get(0).inputs().get("runs"), "the run was resolved before the restart");
        tick();
        assertEquals(TASK, actions.lastOf(WorkerOrder.Stop.class).task());
    }

    /** Guards against a restart whose start time does not show it. */
    @Test
    void clockThatGoesBackShowsARestart() {
        runTheTask();
        tickAfter(900);
        status(BORN, CLOCK + 99, List.of(running(1)), List.of());
        tickAfter(900);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size(), "one millisecond is rounding");
        status(BORN, 5, List.of(), List.of());
        tick();
        assertEquals(2, actions.lastOf(WorkerOrder.Start.class).run());
    }

    /** Guards against a worker that is out of use forever, as its machine was listed while it was down. */
    @Test
    void endedWorkerIsUsedAgainWhenItIsBornAgain() {
        runTheTask();
        for (int i = 0; i < 2; i++) {
            tickAfter(900);
            answer(actions.lastOf(WorkerOrder.Hold.class), OrderResult.NO_ANSWER);
        }
        assertFalse(scheduler.silentWorkers().isEmpty());
        scheduler.workerEnded("w", "not-on-any-machine", now);
        register(REBORN);
        scheduler.workerEnded("w", "not-on-any-machine", now);
        status(REBORN, 5, List.of(), List.of());
        tick();
        assertEquals(2, actions.lastOf(WorkerOrder.Start.class).run());
    }

    /** Guards against another behaviour where a new start of a worker has a new identifier. */
    @Test
    void withoutStartTimesNothingChanges() {
        register(0);
        runTheTask();
        register(0);
        tickAfter(900);
        status(0, CLOCK + 900, List.of(running(1)), List.of());
        tickAfter(900);
        assertEquals(0, actions.sent(WorkerOrder.Start.class).size());
        assertEquals(0, actions.sent(WorkerOrder.Stop.class).size());
    }

    private WorkerOrder.Start startTheTask() {
        tick();
        WorkerOrder.Start start = actions.lastOf(WorkerOrder.Start.class);
        actions.orders.clear();
        return start;
    }

    /** Starts the task and lets a status list it. */
    private void runTheTask() {
        answer(startTheTask(), OrderResult.OK);
        tickAfter(100);
        status(BORN, CLOCK + 100, List.of(running(1)), List.of());
        tick();
        actions.orders.removeIf(WorkerOrder.Start.class::isInstance);
    }

    private static RegisteredWorker registration(long born) {
        return new RegisteredWorker(
                "w", "m", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("r"), SIZE, false, born);
    }

    private void register(long born) {
        scheduler.updateWorkers(List.of(registration(born)), now);
        tick();
    }

    private void status(
            long born, long clock, List<WorkerRunStatus.Running> running, List<WorkerRunStatus.Ended> ended) {
        scheduler.statusReceived("w", new WorkerRunStatus(clock, running, ended, born), now);
    }

    private static WorkerRunStatus.Running running(int run) {
        return new WorkerRunStatus.Running(TASK, run, "", 10, 0);
    }

    private static WorkerRunStatus.Ended ended(long number, int run, RunEnd how) {
        return new WorkerRunStatus.Ended(number, TASK, run, how, "");
    }

    private void answer(WorkerOrder order, OrderResult result) {
        scheduler.orderAnswered(order, result, now);
    }

    private void tick() {
        scheduler.tick(OrderPermission.ALL, now);
    }

    private void tickAfter(long millis) {
        now = now.plus(millis);
        tick();
    }

    /** Lets the store confirm all that is to be stored. */
    private void store() {
        tickAfter(200);
        while (actions.unstoredCommits() > 0) {
            scheduler.commitStored(++actions.stored, now);
            tickAfter(200);
        }
    }

    private static final class Actions implements PoolActions {
        private final List<WorkerOrder> orders = new ArrayList<>();
        private final Map<String, byte[]> documents = new HashMap<>();
        private final List<Decision> restarts = new ArrayList<>();
        private long committed;
        private long stored;

        long unstoredCommits() {
            return committed - stored;
        }

        <T extends WorkerOrder> List<T> sent(Class<T> kind) {
            return orders.stream().filter(kind::isInstance).map(kind::cast).toList();
        }

        <T extends WorkerOrder> T lastOf(Class<T> kind) {
            List<T> sent = sent(kind);
            assertFalse(sent.isEmpty(), "no " + kind.getSimpleName() + " was sent");
            return sent.get(sent.size() - 1);
        }

        @Override
        public void send(WorkerOrder order) {
            orders.add(order);
        }

        @Override
        public void requestAdvice(AdviceRequest request) {}

        @Override
        public void commit(Commit commit) {
            committed = commit.number();
            documents.putAll(commit.puts());
        }

        @Override
        public void phaseStored(String job, JobPhase phase) {}

        @Override
        public void ownershipLost(String workerId) {}

        @Override
        public void logDecision(Decision decision) {
            if (decision.name().equals("worker-restarted")) {
                restarts.add(decision);
            }
        }
    }
}
