package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.trefoilpost.decision.job.team.Teams;

/** Guards against jobs that count as begun, and are missing among those that wait, though no worker has begun a task of them. */
class BegunJobTest {
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";
    private static final long LEASE_MILLIS = 5_000;
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private RecordedActions actions;
    private PoolScheduler scheduler;

    @Test
    void jobWaitsWhileItsFirstStartIsUnderWay() {
        orderTheTask();
        assertWaits();
    }

    @ParameterizedTest
    @EnumSource(value = OrderResult.class, mode = EnumSource.Mode.EXCLUDE, names = "OK")
    void jobWaitsAfterAnAnswerThatDoesNotSayThatItsTaskBegan(OrderResult answer) {
        WorkerOrder.Start start = orderTheTask();
        scheduler.orderAnswered(start, answer, now);
        assertWaits();
    }

    @Test
    void jobWaitsAfterTheEndOfAWorkerThatDidNotAnswer() {
        WorkerOrder.Start start = orderTheTask();
        scheduler.orderAnswered(start, OrderResult.NO_ANSWER, now);
        scheduler.workerEnded("w", "not-on-any-machine", now);
        assertWaits();
    }

    @Test
    void jobWaitsUnderASuccessorOfTheOwnerThatOrderedItsTask() {
        orderTheTask();
        storeChanges();
        open();
        assertWaits();
        report(List.of(), List.of());
        assertWaits();
    }

    @Test
    void jobWithoutAnyRunStillWaitsWhileItsCancellationIsNotStored() {
        orderTheTask();
        scheduler.cancel(JOB, now);
        assertWaits();
        storeChanges();
        assertBegan(JobPhase.CANCELLED);
    }

    @Test
    void answerThatTheTaskBeganBeginsTheJob() {
        WorkerOrder.Start start = orderTheTask();
        scheduler.orderAnswered(start, OrderResult.OK, now);
        assertBegan(JobPhase.RUNNING);
    }

    /** The worker may have run the task although its lease was taken for lapsed, or its end for known, meanwhile. */
    @Test
    void lateAnswerThatTheTaskBeganBeginsTheJob() {
        WorkerOrder.Start start = orderTheTask();
        scheduler.workerEnded("w", "not-on-any-machine", now);
        scheduler.orderAnswered(start, OrderResult.OK, now);
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void listedRunBeginsTheJobOfAnUnansweredStart() {
        WorkerOrder.Start start = orderTheTask();
        scheduler.orderAnswered(start, OrderResult.NO_ANSWER, now);
        report(List.of(new WorkerRunStatus.Running(TASK, 1, "", 10, 0)), List.of());
        assertBegan(JobPhase.RUNNING);
    }

    @ParameterizedTest
    @EnumSource(value = RunEnd.class, mode = EnumSource.Mode.EXCLUDE, names = "DONE")
    void listedEndBeginsTheJobOfAnUnansweredStart(RunEnd how) {
        WorkerOrder.Start start = orderTheTask();
        scheduler.orderAnswered(start, OrderResult.NO_ANSWER, now);
        report(List.of(), List.of(new WorkerRunStatus.Ended(1, TASK, 1, how, "")));
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void listedEndBeginsTheJobUnderASuccessorThatDoesNotKnowTheRun() {
        orderTheTask();
        open();
        report(List.of(), List.of(new WorkerRunStatus.Ended(1, TASK, 1, RunEnd.FAILED, "")));
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void cancelledJobWhoseTaskBeganIsRunningWhileItsEndIsNotStored() {
        WorkerOrder.Start start = orderTheTask();
        scheduler.cancel(JOB, now);
        scheduler.orderAnswered(start, OrderResult.OK, now);
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void successorKnowsThatATaskBeganWhoseWorkerIsLost() {
        WorkerOrder.Start start = orderTheTask();
        scheduler.orderAnswered(start, OrderResult.OK, now);
        storeChanges();
        open();
        scheduler.workerEnded("w", "not-on-any-machine", now);
        assertBegan(JobPhase.RUNNING);
    }

    private void assertWaits() {
        assertEquals(Optional.of(JobPhase.QUEUED), scheduler.phase(JOB));
        assertEquals(1, scheduler.queuedJobs("q"));
    }

    private void assertBegan(JobPhase phase) {
        assertEquals(Optional.of(phase), scheduler.phase(JOB));
        assertEquals(0, scheduler.queuedJobs("q"));
    }

    /** Submits a job, and returns the order to start its task, which is not answered yet. */
    private WorkerOrder.Start orderTheTask() {
        open();
        report(List.of(), List.of());
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        scheduler.submit(new JobSpec(JOB, "q", "text", List.of(step), JobSpec.Schedule.ONCE), true, now);
        storeChanges();
        advance();
        return sent.stream()
                .filter(WorkerOrder.Start.class::isInstance)
                .map(WorkerOrder.Start.class::cast)
                .findFirst()
                .orElseThrow();
    }

    /** Makes a new owner take over the pool with what is stored. */
    private void open() {
        sent.clear();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", new PoolTimeouts(LEASE_MILLIS, 120_000, 2_000), actions);
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
        scheduler.open(Map.copyOf(stored), List.of(worker), now.steadyMillis(), now);
        advance();
    }

    private void report(List<WorkerRunStatus.Running> running, List<WorkerRunStatus.Ended> ended) {
        scheduler.statusReceived("w", new WorkerRunStatus(now.steadyMillis(), running, ended), now);
    }

    private void advance() {
        now = now.plus(200);
        scheduler.tick(OrderPermission.ALL, now);
    }

    private void storeChanges() {
        advance();
        actions.takeCommit().ifPresent(number -> {
            stored.putAll(actions.lastCommit().puts());
            scheduler.commitStored(number, now);
        });
    }
}
