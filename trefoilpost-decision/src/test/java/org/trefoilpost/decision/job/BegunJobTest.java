package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against jobs that count as begun, and are missing among those that wait, though no worker has begun a task of them. */
class BegunJobTest {
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";

    private final PoolWithOneWorker pool = new PoolWithOneWorker(200);

    @Test
    void jobWaitsWhileItsFirstStartIsUnderWay() {
        orderTheTask();
        assertWaits();
    }

    @ParameterizedTest
    @EnumSource(value = OrderResult.class, mode = EnumSource.Mode.EXCLUDE, names = "OK")
    void jobWaitsAfterAnAnswerThatDoesNotSayThatItsTaskBegan(OrderResult answer) {
        WorkerOrder.Start start = orderTheTask();
        pool.answer(start, answer);
        assertWaits();
    }

    @Test
    void jobWaitsAfterTheEndOfAWorkerThatDidNotAnswer() {
        WorkerOrder.Start start = orderTheTask();
        pool.answer(start, OrderResult.NO_ANSWER);
        pool.endWorker();
        assertWaits();
    }

    @Test
    void jobWaitsUnderASuccessorOfTheOwnerThatOrderedItsTask() {
        orderTheTask();
        pool.storeChanges();
        pool.replaceOwner();
        assertWaits();
        pool.report(List.of(), List.of());
        assertWaits();
    }

    @Test
    void jobWithoutAnyRunStillWaitsWhileItsCancellationIsNotStored() {
        orderTheTask();
        pool.scheduler().cancel(JOB, pool.now());
        assertWaits();
        pool.storeChanges();
        assertBegan(JobPhase.CANCELLED);
    }

    @Test
    void answerThatTheTaskBeganBeginsTheJob() {
        WorkerOrder.Start start = orderTheTask();
        pool.answer(start, OrderResult.OK);
        assertBegan(JobPhase.RUNNING);
    }

    /** The worker may have run the task although its lease was taken for lapsed, or its end for known, meanwhile. */
    @Test
    void lateAnswerThatTheTaskBeganBeginsTheJob() {
        WorkerOrder.Start start = orderTheTask();
        pool.endWorker();
        pool.answer(start, OrderResult.OK);
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void listedRunBeginsTheJobOfAnUnansweredStart() {
        WorkerOrder.Start start = orderTheTask();
        pool.answer(start, OrderResult.NO_ANSWER);
        pool.report(List.of(new WorkerRunStatus.Running(TASK, 1, "", 10, 0)), List.of());
        assertBegan(JobPhase.RUNNING);
    }

    @ParameterizedTest
    @EnumSource(value = RunEnd.class, mode = EnumSource.Mode.EXCLUDE, names = "DONE")
    void listedEndBeginsTheJobOfAnUnansweredStart(RunEnd how) {
        WorkerOrder.Start start = orderTheTask();
        pool.answer(start, OrderResult.NO_ANSWER);
        pool.report(List.of(), List.of(new WorkerRunStatus.Ended(1, TASK, 1, how, "")));
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void listedEndBeginsTheJobUnderASuccessorThatDoesNotKnowTheRun() {
        orderTheTask();
        pool.replaceOwner();
        pool.report(List.of(), List.of(new WorkerRunStatus.Ended(1, TASK, 1, RunEnd.FAILED, "")));
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void cancelledJobWhoseTaskBeganIsRunningWhileItsEndIsNotStored() {
        WorkerOrder.Start start = orderTheTask();
        pool.scheduler().cancel(JOB, pool.now());
        pool.answer(start, OrderResult.OK);
        assertBegan(JobPhase.RUNNING);
    }

    @Test
    void successorKnowsThatATaskBeganWhoseWorkerIsLost() {
        WorkerOrder.Start start = orderTheTask();
        pool.answer(start, OrderResult.OK);
        pool.storeChanges();
        pool.replaceOwner();
        pool.endWorker();
        assertBegan(JobPhase.RUNNING);
    }

    private void assertWaits() {
        assertEquals(Optional.of(JobPhase.QUEUED), pool.scheduler().phase(JOB));
        assertEquals(1, pool.scheduler().queuedJobs(PoolWithOneWorker.QUEUE));
    }

    private void assertBegan(JobPhase phase) {
        assertEquals(Optional.of(phase), pool.scheduler().phase(JOB));
        assertEquals(0, pool.scheduler().queuedJobs(PoolWithOneWorker.QUEUE));
    }

    /** Submits a job, and returns the order to start its task, which is not answered yet. */
    private WorkerOrder.Start orderTheTask() {
        pool.report(List.of(), List.of());
        pool.submit(
                JOB,
                StepSpec.builder()
                        .tasks(1, new ResourceAmount(1_000, 100, 0))
                        .estimateMillis(1_000)
                        .build());
        pool.storeChanges();
        pool.advance();
        return pool.orders(WorkerOrder.Start.class).get(0);
    }
}
