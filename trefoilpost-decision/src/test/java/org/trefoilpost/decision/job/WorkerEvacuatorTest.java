package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkerEvacuatorTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final ResourceAmount SIZE = new ResourceAmount(32_000, 131_072, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 2, 1_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final PoolState state =
            new PoolState("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(sent));
    private final WorkerEvacuator evacuator =
            new WorkerEvacuator(state, new OrderSender(state), new PlacementAdvice(state));
    private JobStepState step;

    @BeforeEach
    void createThreeLongRunningTasksAndOneFreeWorker() {
        StepSpec spec = StepSpec.builder()
                .tasks(3, new ResourceAmount(2_000, 1_024, 0))
                .longRunning(true)
                .service("", 0, 1)
                .build();
        JobSpec job = new JobSpec("0123456789abcdef", "q", "text", List.of(spec), JobSpec.Schedule.ONCE);
        JobState known = new JobState(job, QUEUE, NOW);
        known.openDueOccurrences(NOW);
        state.add(known);
        step = known.occurrences.get(0).steps[0];
        for (int i = 0; i < 4; i++) {
            PoolWorker worker = worker("w" + i);
            if (i < 3) {
                Run run = new Run(step.tasks[i], 1, worker, RunPhase.RUNNING, NOW.steadyMillis());
                run.percent = 100;
                worker.add(run);
            }
        }
    }

    @Test
    void taskIsStoppedWhileAllOthersAreReady() {
        state.workers.get("w0").evacuating = true;
        evacuator.tickIfDue(NOW);
        assertEquals(1, sent.size());
    }

    @Test
    void noSecondTaskIsStoppedWhileOneIsStopping() {
        state.workers.get("w0").evacuating = true;
        state.workers.get("w1").evacuating = true;
        evacuator.tickIfDue(NOW);
        assertEquals(1, sent.size());
    }

    @Test
    void unreadyTaskIsNotStoppedWhileAnotherIsUnready() {
        Run starting = step.tasks[0].runs.get(0);
        starting.percent = 40;
        step.tasks[1].runs.get(0).percent = 40;
        starting.worker.evacuating = true;
        evacuator.tickIfDue(NOW);
        assertEquals(0, sent.size());
    }

    @Test
    void taskOnASilentWorkerCountsAsUnavailable() {
        state.workers.get("w1").missedCalls = 1;
        state.workers.get("w0").evacuating = true;
        evacuator.tickIfDue(NOW);
        assertEquals(0, sent.size());
    }

    private PoolWorker worker(String id) {
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                id, "", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("r"), SIZE, false));
        worker.fenced = true;
        worker.recordClock(0, NOW.steadyMillis());
        state.workers.put(id, worker);
        return worker;
    }
}
