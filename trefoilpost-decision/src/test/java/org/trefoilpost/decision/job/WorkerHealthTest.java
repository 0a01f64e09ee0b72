package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class WorkerHealthTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final long LATER = NOW.steadyMillis() + 700;
    private static final QueueRule QUEUE = new QueueRule("q", "h", "/q/", "pool", 0, 3, 2, 1_000, Optional.empty());

    private final PoolState state =
            new PoolState("pool", new PoolBounds(5_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
    private final WorkerHealth health = new WorkerHealth(state);

    @Test
    void aWorkerWhoseRunsAllCrawlIsSlow() {
        WorkerSlot slot = workerWithRunsAt(10, 12, 11, 9);
        assertEquals(4, health.tooSlow(slot, LATER).size());
    }

    @Test
    void oneLongTaskAmongOthersIsNoEvidence() {
        assertEquals(List.of(), health.tooSlow(workerWithRunsAt(10, 70, 65, 80), LATER));
        assertEquals(List.of(), health.tooSlow(workerWithRunsAt(10, 9), LATER));
    }

    @Test
    void atLeastHalfOfAPoolStaysOpen() {
        List<WorkerSlot> slots = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            slots.add(worker("w" + i));
        }
        assertTrue(health.blame(slots.get(0), "slow", NOW.steadyMillis()));
        assertTrue(health.blame(slots.get(1), "slow", NOW.steadyMillis()));
        assertFalse(health.blame(slots.get(2), "slow", NOW.steadyMillis()));
    }

    private WorkerSlot workerWithRunsAt(int... percents) {
        WorkerSlot slot = worker("w");
        StepSpec spec = StepSpec.builder()
                .tasks(percents.length, new Demand(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        JobState job = new JobState(
                new JobSpec("0123456789abcdef", "q", "", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.openDue(NOW);
        for (int i = 0; i < percents.length; i++) {
            Run run = new Run(job.occurrences.get(0).steps[0].tasks[i], 1, slot, RunPhase.RUNNING, NOW.steadyMillis());
            run.percent = percents[i];
            run.progressMillis = LATER;
            slot.add(run);
        }
        return slot;
    }

    private WorkerSlot worker(String id) {
        Demand size = new Demand(32_000, 131_072, 0);
        WorkerSlot slot = new WorkerSlot(new WorkerReport(id, "", "pool", id + ":80", "dc", List.of("r"), size, false));
        state.slots.put(id, slot);
        return slot;
    }
}
