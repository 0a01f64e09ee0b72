package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that waits too long at peak load: because small tasks keep taking the free capacity, because late
 * jobs go first, or because workers never become empty.
 */
class PlacerTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final ResourceAmount SMALL = new ResourceAmount(2_000, 4_000, 0);
    private static final ResourceAmount LARGE = new ResourceAmount(8_000, 60_000, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 1.6, 600, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final PoolState state =
            new PoolState("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(sent));
    private final OrderSender orderSender = new OrderSender(state);
    private final StartDeadlines startDeadlines = new StartDeadlines(new RunStatistics(state));
    private final Placer placer = new Placer(state, orderSender, startDeadlines, new PlacementAdvice(state));
    private int lastJob;

    @Test
    void jobsThatCanMeetTheirObjectiveStartBeforeLateOnes() {
        worker("w1", new ResourceAmount(2_000, 8_000, 0), "r1");
        JobState late = job(step(1, SMALL).build(), 20_000);
        JobState fresh = job(step(1, SMALL).build(), 0);
        place(NOW);
        assertEquals(List.of(fresh.spec.id()), startedJobs());
        assertTrue(late.phase == JobPhase.QUEUED);
    }

    @Test
    void lateJobsStartWhenCapacityIsFree() {
        worker("w1", new ResourceAmount(8_000, 8_000, 0), "r1");
        JobState late = job(step(1, SMALL).build(), 20_000);
        place(NOW);
        assertEquals(List.of(late.spec.id()), startedJobs());
    }

    @Test
    void workerIsReservedForALongRunningTaskThatDoesNotFit() {
        PoolWorker only = worker("w1", new ResourceAmount(32_000, 64_000, 0), "r1");
        job(step(8, SMALL).build(), 0);
        place(NOW);
        assertEquals(8, sent.size());
        JobState longRunning = job(step(1, LARGE).longRunning(true).build(), 5_000);
        job(step(8, SMALL).build(), 0);
        free(only, 4);
        place(NOW.plus(200));
        assertEquals(8, sent.size(), "the freed capacity is reserved");
        free(only, 4);
        place(NOW.plus(400));
        assertEquals(longRunning.spec.id(), startedJobs().get(8));
    }

    /** Guards against a gang that lasts and does not start again on a full service, as small tasks take what becomes free. */
    @Test
    void workersAreReservedForAllTasksOfAGangThatDoesNotFit() {
        List<PoolWorker> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(worker("w" + i, new ResourceAmount(32_000, 64_000, 0), "r1"));
        }
        job(step(48, SMALL).build(), 0);
        for (int round = 0; round < 6; round++) {
            place(NOW);
            workers.forEach(worker -> worker.startsInFlight = 0);
        }
        assertEquals(48, sent.size());
        JobState gang = job(
                step(3, new ResourceAmount(8_000, 4_000, 0))
                        .placement("", "", 1)
                        .gang(true, false)
                        .longRunning(true)
                        .build(),
                5_000);
        job(step(24, SMALL).build(), 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(48, sent.size(), "the freed capacity is reserved");
            free(workers.get(i), 4);
            place(NOW.plus(200 + 200 * i));
        }
        assertEquals(
                List.of(gang.spec.id(), gang.spec.id(), gang.spec.id()),
                startedJobs().subList(48, 51));
    }

    /** Guards against workers kept idle for a gang that does not fit the pool. */
    @Test
    void nothingIsReservedForAGangThatDoesNotFitThePool() {
        PoolWorker only = worker("w1", new ResourceAmount(32_000, 64_000, 0), "r1");
        job(step(8, SMALL).build(), 0);
        place(NOW);
        job(
                step(2, LARGE)
                        .placement("", "", 1)
                        .gang(true, false)
                        .longRunning(true)
                        .build(),
                5_000);
        job(step(8, SMALL).build(), 0);
        only.startsInFlight = 0;
        place(NOW.plus(200));
        assertEquals(16, sent.size());
    }

    /** Guards against workers that stay idle for a task that cannot start there before other long-running tasks are cancelled. */
    @Test
    void noWorkerIsReservedWhoseLongRunningTasksLeaveNoRoom() {
        worker("w1", new ResourceAmount(32_000, 64_000, 0), "r1");
        worker("w2", new ResourceAmount(32_000, 64_000, 0), "r1");
        job(
                step(2, new ResourceAmount(2_000, 30_000, 0))
                        .placement("", "", 1)
                        .longRunning(true)
                        .build(),
                0);
        place(NOW);
        assertEquals(2, sent.size());
        job(step(1, LARGE).placement("", "", 1).longRunning(true).build(), 0);
        job(step(1, LARGE).placement("", "", 1).longRunning(true).build(), 0);
        place(NOW.plus(1_000));
        assertEquals(2, sent.size(), "the large tasks fit nowhere");
        JobState small = job(step(1, SMALL).build(), 0);
        place(NOW.plus(2_000));
        assertEquals(3, sent.size(), "a small task starts beside them");
        assertEquals(small.spec.id(), startedJobs().get(2));
    }

    /** Guards against a long-running task that waits beside a worker with room, as the runs of others have failed there. */
    @Test
    void longRunningTaskWaitsAShortTimeForASuspectedWorker() {
        PoolWorker only = worker("w1", new ResourceAmount(32_000, 64_000, 0), "r1");
        only.suspicion.suspected(NOW.steadyMillis(), 12_000);
        job(step(1, SMALL).build(), 0);
        JobState longRunning = job(step(1, LARGE).longRunning(true).build(), 0);
        place(NOW.plus(2_900));
        assertEquals(List.of(), startedJobs());
        place(NOW.plus(3_100));
        assertEquals(List.of(longRunning.spec.id()), startedJobs());
    }

    @Test
    void fullWorkersAreFilledFirst() {
        worker("w1", new ResourceAmount(32_000, 64_000, 0), "r1");
        worker("w2", new ResourceAmount(32_000, 64_000, 0), "r2");
        job(step(1, SMALL).build(), 0);
        place(NOW);
        job(step(3, SMALL).build(), 0);
        place(NOW.plus(100));
        assertEquals(1, sent.stream().map(WorkerOrder::worker).distinct().count());
    }

    @Test
    void preferredRackAndTasksPerWorkerLimitAreRespected() {
        worker("w1", new ResourceAmount(32_000, 64_000, 0), "r1");
        worker("w2", new ResourceAmount(32_000, 64_000, 0), "r2");
        job(step(1, SMALL).placement("", "r2", 0).build(), 0);
        place(NOW);
        assertEquals("w2", sent.get(0).worker());
        job(step(4, SMALL).placement("", "", 1).build(), 0);
        place(NOW.plus(100));
        assertEquals(3, sent.size());
    }

    @Test
    void noMoreTasksArePlacedThanFit() {
        worker("w1", new ResourceAmount(9_000, 64_000, 0), "r1");
        job(step(20, SMALL).build(), 0);
        place(NOW);
        assertEquals(4, sent.size());
    }

    /** Guards against starts beyond a capacity that has shrunk, and against capacity that is not used once it is back. */
    @Test
    void capacityThatShrinksAndGrowsIsRespected() {
        PoolWorker only = worker("w1", new ResourceAmount(8_000, 64_000, 0), "r1");
        job(step(9, SMALL).build(), 0);
        place(NOW);
        assertEquals(4, sent.size());
        register(only, 5_000);
        free(only, 1);
        place(NOW.plus(100));
        assertEquals(4, sent.size(), "three runs exceed the smaller capacity and go on");
        assertEquals(3, only.runs.size());
        only.runs.values().forEach(run -> run.phase = RunPhase.STOPPING);
        place(NOW.plus(200));
        assertEquals(4, sent.size(), "runs that are being stopped count");
        register(only, 8_000);
        place(NOW.plus(201));
        assertEquals(5, sent.size(), "the capacity that is back is used at once");
    }

    @Test
    void gangWaitsUntilTheCapacityOfAllItsWorkersIsBack() {
        PoolWorker shrunk = worker("w1", new ResourceAmount(4_000, 64_000, 0), "r1");
        worker("w2", new ResourceAmount(4_000, 64_000, 0), "r1");
        register(shrunk, 1_999);
        job(step(4, SMALL).gang(true, false).build(), 0);
        place(NOW);
        assertEquals(0, sent.size());
        register(shrunk, 4_000);
        place(NOW.plus(10));
        assertEquals(4, sent.size());
    }

    @Test
    void nothingIsPlacedBeforeTheJobIsStored() {
        worker("w1", new ResourceAmount(9_000, 64_000, 0), "r1");
        job(step(1, SMALL).build(), 0).stored = false;
        place(NOW);
        assertEquals(0, sent.size());
    }

    private void place(Moment now) {
        state.workers.values().forEach(worker -> {
            worker.startsInFlight = 0;
            worker.recordClock(now.steadyMillis(), now.steadyMillis());
        });
        state.placementDue = true;
        placer.placeIfDue(now);
    }

    private List<String> startedJobs() {
        return sent.stream()
                .map(order -> ((WorkerOrder.Start) order).task().job())
                .toList();
    }

    private static void free(PoolWorker worker, int count) {
        new ArrayList<>(worker.runs.values()).subList(0, count).forEach(run -> {
            run.task.done = true;
            worker.remove(run);
        });
    }

    private static StepSpec.Builder step(int tasks, ResourceAmount demand) {
        return StepSpec.builder().tasks(tasks, demand).estimateMillis(1_000);
    }

    private JobState job(StepSpec spec, long ageMillis) {
        String id = String.format("%016x", ++lastJob);
        JobState job = new JobState(new JobSpec(id, "q", "", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.submittedMillis -= ageMillis;
        job.openDueOccurrences(NOW);
        job.stored = true;
        state.add(job);
        return job;
    }

    private static void register(PoolWorker worker, long cpuMillis) {
        RegisteredWorker former = worker.registration;
        worker.register(new RegisteredWorker(
                former.id(),
                former.machine(),
                former.pool(),
                former.address(),
                former.dataCentre(),
                former.labels(),
                new ResourceAmount(cpuMillis, former.capacity().memoryMb(), 0),
                former.draining()));
    }

    private PoolWorker worker(String id, ResourceAmount size, String rack) {
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                id, "", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("a", rack), size, false));
        worker.fenced = true;
        state.workers.put(id, worker);
        return worker;
    }
}
