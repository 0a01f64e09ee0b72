package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RunStatisticsTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 2, 1_000, Optional.empty(), false);

    private final PoolState state = new PoolState(
            "pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
    private final RunStatistics runStatistics = new RunStatistics(state);

    @Test
    void runWithoutProgressIsStalledOnlyIfItsWorkerAnswers() {
        PoolWorker worker = worker("w");
        Run run = run(worker);
        long later = NOW.steadyMillis() + 3_000;
        assertEquals(List.of(), runStatistics.stalledRuns(worker, later));
        worker.recordClock(0, later);
        assertEquals(List.of(run), runStatistics.stalledRuns(worker, later));
    }

    @Test
    void atLeastHalfOfThePoolStaysUnsuspected() {
        List<PoolWorker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(worker("w" + i));
        }
        for (PoolWorker worker : workers) {
            runStatistics.blameStall(worker, NOW.steadyMillis());
        }
        long open = workers.stream()
                .filter(worker -> !worker.suspicion.isSuspected(NOW.steadyMillis()))
                .count();
        assertEquals(2, open);
    }

    @Test
    void workerIsSuspectedAfterTwoFailuresInARow() {
        PoolWorker worker = worker("w");
        worker("other");
        Run run = run(worker);
        runStatistics.runEnded(run, RunEnd.FAILED, NOW.steadyMillis());
        assertFalse(worker.suspicion.isSuspected(NOW.steadyMillis()), "suspected after one failure");
        runStatistics.runEnded(run, RunEnd.FAILED, NOW.steadyMillis());
        assertTrue(worker.suspicion.isSuspected(NOW.steadyMillis()), "not suspected after two failures");
    }

    @Test
    void expectedDurationIsLearnedFromCompletedRuns() {
        PoolWorker worker = worker("w");
        Run run = run(worker);
        JobState job = run.task.step.occurrence.job;
        long before = runStatistics.expectedMillis(job, run.task.step.spec);
        for (int i = 0; i < 20; i++) {
            runStatistics.runEnded(run, RunEnd.DONE, NOW.steadyMillis() + 4_000);
        }
        long after = runStatistics.expectedMillis(job, run.task.step.spec);
        assertTrue(after > 2 * before, before + " became " + after);
        assertFalse(after > 4_000, "expected duration exceeds all measured ones: " + after);
    }

    private Run run(PoolWorker worker) {
        StepSpec spec = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        JobState job = new JobState(
                new JobSpec("0123456789abcdef", "q", "", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.openDueOccurrences(NOW);
        Run run = new Run(job.occurrences.get(0).steps[0].tasks[0], 1, worker, RunPhase.RUNNING, NOW.steadyMillis());
        worker.add(run);
        return run;
    }

    private PoolWorker worker(String id) {
        ResourceAmount size = new ResourceAmount(32_000, 131_072, 0);
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                id, "", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("r"), size, false));
        state.workers.put(id, worker);
        return worker;
    }
}
