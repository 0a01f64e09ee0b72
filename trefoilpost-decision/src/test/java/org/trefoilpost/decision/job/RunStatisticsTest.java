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
    private static final QueueConfig QUEUE = new QueueConfig("q", "h", "/q/", "pool", 0, 3, 2, 1_000, Optional.empty());

    private final PoolState state =
            new PoolState("pool", new PoolTimeouts(5_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
    private final RunStatistics runStatistics = new RunStatistics(state);

    @Test
    void runWithoutProgressIsStalledOnlyIfItsWorkerAnswers() {
        PoolWorker slot = worker("w");
        Run run = run(slot);
        long later = NOW.steadyMillis() + 3_000;
        assertEquals(List.of(), runStatistics.stalledRuns(slot, later));
        slot.recordClock(0, later);
        assertEquals(List.of(run), runStatistics.stalledRuns(slot, later));
    }

    @Test
    void atLeastHalfOfThePoolStaysUnsuspected() {
        List<PoolWorker> slots = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            slots.add(worker("w" + i));
        }
        for (PoolWorker slot : slots) {
            runStatistics.blameStall(slot, NOW.steadyMillis());
        }
        long open = slots.stream()
                .filter(slot -> NOW.steadyMillis() >= slot.suspectUntilMillis)
                .count();
        assertEquals(2, open);
    }

    @Test
    void workerIsSuspectedAfterTwoFailuresInARow() {
        PoolWorker slot = worker("w");
        worker("other");
        Run run = run(slot);
        runStatistics.runEnded(run, RunEnd.FAILED, NOW.steadyMillis());
        assertTrue(slot.suspectUntilMillis <= NOW.steadyMillis(), "paused after one failure");
        runStatistics.runEnded(run, RunEnd.FAILED, NOW.steadyMillis());
        assertTrue(slot.suspectUntilMillis > NOW.steadyMillis(), "open after two failures");
    }

    @Test
    void expectedDurationIsLearnedFromCompletedRuns() {
        PoolWorker slot = worker("w");
        Run run = run(slot);
        JobState job = run.task.step.occurrence.job;
        long before = runStatistics.expectedMillis(job, run.task.step.spec);
        for (int i = 0; i < 20; i++) {
            runStatistics.runEnded(run, RunEnd.DONE, NOW.steadyMillis() + 4_000);
        }
        long after = runStatistics.expectedMillis(job, run.task.step.spec);
        assertTrue(after > 2 * before, before + " became " + after);
        assertFalse(after > 4_000, "more than was ever seen: " + after);
    }

    private Run run(PoolWorker slot) {
        StepSpec spec = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        JobState job = new JobState(
                new JobSpec("0123456789abcdef", "q", "", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.openDueOccurrences(NOW);
        Run run = new Run(job.occurrences.get(0).steps[0].tasks[0], 1, slot, RunPhase.RUNNING, NOW.steadyMillis());
        slot.add(run);
        return run;
    }

    private PoolWorker worker(String id) {
        ResourceAmount size = new ResourceAmount(32_000, 131_072, 0);
        PoolWorker slot =
                new PoolWorker(new RegisteredWorker(id, "", "pool", id + ":80", "dc", List.of("r"), size, false));
        state.workers.put(id, slot);
        return slot;
    }
}
