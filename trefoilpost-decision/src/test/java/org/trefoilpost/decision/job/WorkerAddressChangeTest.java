package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

/** Guards against a worker that counts as ended as another one answers at the address that it had before a restart. */
class WorkerAddressChangeTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final long REBORN = BORN + 9_000;
    private static final WorkerAddress FORMER_ADDRESS = WorkerAddress.of("10.0.0.1", 80);
    private static final WorkerAddress ADDRESS = WorkerAddress.of("10.0.0.2", 80);
    private static final ResourceAmount TASK_SIZE = new ResourceAmount(4_000, 8_000, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);
    private static final String FORMER_JOB = "0123456789abcdef";
    private static final String RUNNING_JOB = "fedcba9876543210";

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final RecordedActions actions = new RecordedActions(sent);
    private final PoolScheduler scheduler =
            new PoolScheduler("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), actions);
    private Moment now = new Moment(1_000_000, 2_000_000);
    private WorkerOrder.Start formerStart;

    @BeforeEach
    void startATaskOnEachIncarnation() {
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        scheduler.open(List.of(registration(FORMER_ADDRESS, BORN)), List.of(), now.steadyMillis(), now);
        report(BORN, List.of());
        formerStart = start(FORMER_JOB);
        scheduler.updateWorkers(List.of(registration(ADDRESS, REBORN)), now);
        report(REBORN, List.of());
        scheduler.orderAnswered(start(RUNNING_JOB), OrderResult.OK, now);
        report(REBORN, List.of(new WorkerRunStatus.Running(RUNNING_JOB + ".0.0.0", 1, "", 10, 0)));
        sent.clear();
    }

    @Test
    void refusalAtTheFormerAddressDoesNotEndTheRunsOfTheNewIncarnation() {
        scheduler.orderAnswered(formerStart, OrderResult.OTHER_LIFE, now);
        addAnIdleWorker();
        assertFalse(startedJobs().contains(RUNNING_JOB), "it goes on running");
    }

    private static RegisteredWorker registration(WorkerAddress address, long born) {
        return new RegisteredWorker("w", "m", "pool", address, "dc", List.of("r"), TASK_SIZE.times(2), false, born);
    }

    /** Adds a worker that has room for all tasks, and lets the scheduler decide for a second. */
    private void addAnIdleWorker() {
        scheduler.updateWorkers(List.of(registration(ADDRESS, REBORN), idleWorker()), now);
        for (int i = 0; i < 10; i++) {
            scheduler.statusReceived("idle", new WorkerRunStatus(now.steadyMillis(), List.of(), List.of(), BORN), now);
            advance();
        }
    }

    private static RegisteredWorker idleWorker() {
        WorkerAddress address = WorkerAddress.of("10.0.0.3", 80);
        return new RegisteredWorker(
                "idle", "m-idle", "pool", address, "dc", List.of("r"), TASK_SIZE.times(2), false, BORN);
    }

    /** Submits a job of one task, lets the store confirm it, and returns the start. */
    private WorkerOrder.Start start(String id) {
        StepSpec step = StepSpec.builder()
                .tasks(1, TASK_SIZE)
                .estimateMillis(1_000)
                .longRunning(true)
                .build();
        scheduler.submit(new JobSpec(id, "q", "text", List.of(step), JobSpec.Schedule.ONCE), true, now);
        advance();
        scheduler.commitStored(actions.lastCommit().number(), now);
        advance();
        return starts().stream()
                .filter(start -> start.task().job().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void report(long born, List<WorkerRunStatus.Running> running) {
        scheduler.statusReceived("w", new WorkerRunStatus(now.steadyMillis(), running, List.of(), born), now);
    }

    private void advance() {
        now = now.plus(100);
        scheduler.tick(OrderPermission.ALL, now);
    }

    private List<WorkerOrder.Start> starts() {
        return sent.stream()
                .filter(WorkerOrder.Start.class::isInstance)
                .map(WorkerOrder.Start.class::cast)
                .toList();
    }

    private List<String> startedJobs() {
        return starts().stream().map(start -> start.task().job()).toList();
    }
}
