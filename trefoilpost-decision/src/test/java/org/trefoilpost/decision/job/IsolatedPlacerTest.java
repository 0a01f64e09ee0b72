package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.crash.CrashRecord;
import org.trefoilpost.decision.job.crash.Isolation;

/** Guards against tasks that lose their worker again to another which has crashed one, or that wait for it. */
class IsolatedPlacerTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final ResourceAmount SMALL = new ResourceAmount(2_000, 4_000, 0);
    private static final ResourceAmount WORKER = new ResourceAmount(32_000, 64_000, 0);
    private static final CrashRecord ONE_CRASH = new CrashRecord(1, 0, 0, true);
    private static final CrashRecord TWO_CRASHES = new CrashRecord(2, 1, 1, true);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 1.6, 600, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final PoolState state =
            new PoolState("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(sent));
    private final Placer placer = new Placer(
            state, new OrderSender(state), new StartDeadlines(new RunStatistics(state)), new PlacementAdvice(state));
    private int lastJob;

    @Test
    void suspectStartsOnAWorkerWithoutRecentRuns() {
        worker("busy");
        place(NOW, job(2, SMALL, CrashRecord.NONE));
        worker("quiet");
        JobState suspect = job(1, SMALL, ONE_CRASH);
        place(NOW.plus(100), suspect);
        assertEquals("quiet", workerOf(suspect));
    }

    @Test
    void noOtherJobStartsBesideASuspectUntilItHasProvedItself() {
        PoolWorker only = worker("w1");
        JobState suspect = job(1, SMALL, ONE_CRASH);
        place(NOW, suspect);
        confirm(only, NOW.plus(10));
        JobState other = job(1, SMALL, CrashRecord.NONE);
        place(NOW.plus(200), other);
        assertTrue(runsOf(other).isEmpty(), "started beside the suspect");
        answer(only, NOW.plus(400));
        place(NOW.plus(410), other);
        assertEquals("w1", workerOf(other));
    }

    @Test
    void taskWithTwoCrashesWaitsForAWorkerWithoutRunsThatMayCrash() {
        PoolWorker serving = worker("serving");
        JobState lasting = job(1, SMALL, CrashRecord.NONE);
        place(NOW, lasting);
        confirm(serving, NOW.plus(10));
        JobState suspect = job(1, SMALL, TWO_CRASHES);
        suspect.task(task(suspect)).crashedMillis = NOW.steadyMillis();
        place(NOW.plus(1_000), suspect);
        assertTrue(runsOf(suspect).isEmpty(), "the other run has not survived its start for long");
        answer(serving, NOW.plus(3_100));
        suspect.task(task(suspect)).crashedMillis = NOW.plus(3_000).steadyMillis();
        place(NOW.plus(3_110), suspect);
        assertEquals("serving", workerOf(suspect));
    }

    @Test
    void suspectStartsBesideOthersOnceItHasWaitedLongEnough() {
        worker("w1");
        place(NOW, job(2, SMALL, CrashRecord.NONE));
        JobState suspect = job(1, SMALL, ONE_CRASH);
        place(NOW.plus(100), suspect);
        assertTrue(runsOf(suspect).isEmpty(), "started beside recent runs");
        long patience = suspect.task(task(suspect)).isolation().patienceMillis();
        place(NOW.plus(patience + 100), job(1, SMALL, CrashRecord.NONE));
        assertEquals("w1", workerOf(suspect));
    }

    @Test
    void suspectsUseAThirdOfThePoolAndTheRestGoesOn() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i);
        }
        List<JobState> suspects = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            suspects.add(job(1, SMALL, TWO_CRASHES));
        }
        JobState other = job(6 * 16, SMALL, CrashRecord.NONE);
        state.add(other);
        place(NOW, suspects.toArray(JobState[]::new));
        assertEquals(2, suspects.stream().filter(job -> !runsOf(job).isEmpty()).count());
        assertEquals(4 * 8, runsOf(other).size(), "eight starts in flight for each of the other workers");
    }

    /** Guards against suspects that wait for each other beside workers which nobody needs. */
    @Test
    void suspectsUseTheWorkersThatNoOtherTaskNeeds() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i);
        }
        List<JobState> suspects = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            suspects.add(job(1, SMALL, TWO_CRASHES));
        }
        place(NOW, suspects.toArray(JobState[]::new));
        assertEquals(5, suspects.stream().filter(job -> !runsOf(job).isEmpty()).count());
        JobState arriving = job(1, SMALL, CrashRecord.NONE);
        place(NOW.plus(10), arriving);
        assertEquals(1, runsOf(arriving).size(), "a worker is left to tasks that arrive");
    }

    /** Guards against a suspect that waits for a worker which long-running tasks fill for good. */
    @Test
    void workerThatLongRunningTasksFillIsNotReserved() {
        PoolWorker full = worker("full");
        StepSpec lasting = StepSpec.builder()
                .tasks(1, WORKER)
                .longRunning(true)
                .estimateMillis(1_000)
                .build();
        place(NOW, job(lasting, CrashRecord.NONE));
        confirm(full, NOW.plus(2_000));
        PoolWorker busy = worker("busy");
        answer(busy, NOW.plus(2_000));
        place(NOW.plus(2_000), job(4, SMALL, CrashRecord.NONE));
        confirm(busy, NOW.plus(2_010));
        JobState suspect = job(1, SMALL, TWO_CRASHES);
        JobState other = job(1, SMALL, CrashRecord.NONE);
        place(NOW.plus(2_020), suspect, other);
        assertTrue(runsOf(suspect).isEmpty(), "the other runs have only just started");
        assertTrue(runsOf(other).isEmpty(), "the busy worker is not reserved");
        busy.runs.values().stream().toList().forEach(busy::remove);
        answer(busy, NOW.plus(2_090));
        place(NOW.plus(2_100), suspect);
        assertEquals("busy", workerOf(suspect));
    }

    /** Guards against crash records that blame a task for the end of a worker which had ended before its start. */
    @Test
    void suspectStartsOnlyOnAWorkerThatHasJustAnswered() {
        PoolWorker idle = worker("w1");
        place(NOW);
        JobState suspect = job(1, SMALL, TWO_CRASHES);
        place(NOW.plus(5_000), suspect);
        assertTrue(runsOf(suspect).isEmpty(), "started on a worker that was not heard of for 5 s");
        assertTrue(idle.answerWanted);
        answer(idle, NOW.plus(5_010));
        place(NOW.plus(5_020), suspect);
        assertEquals("w1", workerOf(suspect));
    }

    @Test
    void tasksOfOneJobShareTheWorkerOnWhichTheyAreKeptApart() {
        worker("w1");
        worker("w2");
        JobState suspect = job(3, SMALL, TWO_CRASHES);
        place(NOW, suspect);
        assertEquals(3, runsOf(suspect).size());
        assertEquals(
                1, runsOf(suspect).stream().map(run -> run.worker).distinct().count());
    }

    @Test
    void suspectWaitsUntilItsCrashesAreStored() {
        worker("w1");
        JobState suspect = job(1, SMALL, TWO_CRASHES);
        suspect.crashChanges = 2;
        place(NOW, suspect);
        assertTrue(runsOf(suspect).isEmpty(), "started though the next owner would not know of its crashes");
        suspect.storedCrashChanges = 2;
        place(NOW.plus(30), suspect);
        assertEquals(1, runsOf(suspect).size());
    }

    @Test
    void gangWithASuspectStartsApart() {
        worker("busy");
        place(NOW, job(1, SMALL, CrashRecord.NONE));
        worker("quiet");
        JobState gang = job(StepSpec.builder().tasks(2, SMALL).gang(true, false).build(), TWO_CRASHES);
        gang.task(task(gang)).crashedMillis = NOW.steadyMillis();
        place(NOW.plus(100), gang);
        assertEquals(
                List.of("quiet"),
                runsOf(gang).stream().map(run -> run.worker.id).distinct().toList());
        assertNotEquals(0, runsOf(gang).get(0).probationMillis);
    }

    @Test
    void gangWithASuspectStartsBesideOthersOnceItHasWaitedLongEnough() {
        PoolWorker worker = worker("w1");
        place(NOW, job(1, SMALL, CrashRecord.NONE));
        JobState gang = job(StepSpec.builder().tasks(2, SMALL).gang(true, false).build(), TWO_CRASHES);
        answer(worker, NOW.plus(1_900));
        place(NOW.plus(1_900), gang);
        assertTrue(runsOf(gang).isEmpty(), "started beside a run that has not survived its start");
        place(NOW.plus(2_100), gang);
        assertEquals(2, runsOf(gang).size());
    }

    /** Guards against a gang that is started in part, as one of its workers was lost unnoticed. */
    @Test
    void gangStartsOnceEachOfItsWorkersHasAnsweredLately() {
        PoolWorker first = worker("w1");
        PoolWorker second = worker("w2");
        place(NOW);
        JobState gang =
                job(StepSpec.builder().tasks(2, WORKER).gang(true, false).build(), CrashRecord.NONE);
        place(NOW.plus(5_000), gang);
        assertTrue(runsOf(gang).isEmpty());
        assertTrue(first.answerWanted && second.answerWanted);
        answer(first, NOW.plus(5_010));
        place(NOW.plus(5_020), gang);
        assertTrue(runsOf(gang).isEmpty(), "the second worker has not answered");
        answer(second, NOW.plus(5_030));
        place(NOW.plus(5_040), gang);
        assertEquals(2, runsOf(gang).size());
    }

    @Test
    void suspectAsksForNoMachine() {
        JobState suspect = job(4, SMALL, ONE_CRASH);
        JobStepState step = suspect.occurrences.get(0).steps[0];
        assertEquals(SMALL.times(3), step.waitingDemand());
        assertEquals(Isolation.SEPARATE, step.tasks[0].isolation());
    }

    private void place(Moment now, JobState... jobs) {
        for (JobState job : jobs) {
            if (!state.jobs.containsKey(job.spec.id())) {
                state.add(job);
            }
        }
        state.workers.values().forEach(worker -> {
            worker.startsInFlight = 0;
            if (!worker.lease.isClockKnown()) {
                worker.recordClock(0, NOW.steadyMillis());
            }
        });
        state.placementDue = true;
        placer.placeIfDue(now);
    }

    private static void confirm(PoolWorker worker, Moment now) {
        worker.runs.values().forEach(run -> run.phase = RunPhase.RUNNING);
        answer(worker, now);
    }

    private static void answer(PoolWorker worker, Moment now) {
        worker.recordClock(now.steadyMillis(), now.steadyMillis());
    }

    private static TaskId task(JobState job) {
        return new TaskId(job.spec.id(), 0, 0, 0);
    }

    private static List<Run> runsOf(JobState job) {
        List<Run> runs = new ArrayList<>();
        for (JobTaskState task : job.occurrences.get(0).steps[0].tasks) {
            runs.addAll(task.runs);
        }
        return runs;
    }

    private static String workerOf(JobState job) {
        return runsOf(job).get(0).worker.id;
    }

    private JobState job(int tasks, ResourceAmount demand, CrashRecord record) {
        return job(StepSpec.builder().tasks(tasks, demand).estimateMillis(1_000).build(), record);
    }

    /** Returns a job whose first task, or with two crashes or more each task, has the record. */
    private JobState job(StepSpec spec, CrashRecord record) {
        String id = String.format("%016x", ++lastJob);
        JobState job = new JobState(new JobSpec(id, "q", "", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.openDueOccurrences(NOW);
        job.stored = true;
        for (JobTaskState task : job.occurrences.get(0).steps[0].tasks) {
            if (task.id.index() == 0 || record.crashes() > 1) {
                task.crashRecord = record;
                task.crashedMillis = NOW.steadyMillis();
            }
        }
        return job;
    }

    private PoolWorker worker(String id) {
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                id, "", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("a", "r"), WORKER, false));
        worker.fenced = true;
        state.workers.put(id, worker);
        return worker;
    }
}
