package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.crash.CrashRecord;

/** Guards against crashes that count against the wrong task, or that are forgotten. */
class WorkerCrashesTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final ResourceAmount SIZE = new ResourceAmount(4_000, 8_000, 0);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final PoolState state = new PoolState(
            "pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
    private final WorkerLosses workerLosses = workerLosses(state);
    private final RunTracker runTracker = runTracker(state);
    private int lastJob;

    @Test
    void crashIsPutDownToTheOnlyJobThatHadJustStarted() {
        PoolWorker worker = worker("w", false);
        JobTaskState settled = run(worker, -1_000);
        JobTaskState recent = run(worker, 0);
        answered(worker, 20);
        crash(worker);
        assertEquals(new CrashRecord(1, 0, 0, false), settled.crashRecord);
        assertEquals(new CrashRecord(1, 1, 0, true), recent.crashRecord);
    }

    @Test
    void crashAtAnUnknownTimeAfterTheLastAnswerIsPutDownToNobody() {
        PoolWorker worker = worker("w", false);
        JobTaskState recent = run(worker, 0);
        worker.answered(NOW.plus(20).steadyMillis());
        worker.holdSentMillis = worker.lastAnswerMillis;
        worker.holdWaitMillis = 800;
        worker.holdUnanswered(NOW.plus(1_400).steadyMillis());
        crash(worker);
        assertEquals(new CrashRecord(1, 0, 1, true), recent.crashRecord);
    }

    @Test
    void crashIsPutDownToNoneOfSeveralRecentJobs() {
        PoolWorker worker = worker("w", false);
        JobTaskState first = run(worker, 0);
        JobTaskState second = run(worker, 0);
        answered(worker, 20);
        crash(worker);
        assertEquals(new CrashRecord(1, 0, 0, true), first.crashRecord);
        assertEquals(new CrashRecord(1, 0, 0, true), second.crashRecord);
    }

    @Test
    void startWithoutAnAnswerMayHaveCausedTheCrashToo() {
        PoolWorker worker = worker("w", false);
        JobTaskState confirmed = run(worker, 0);
        JobTaskState unanswered = run(worker, 10);
        worker.runs.values().stream()
                .filter(run -> run.task == unanswered)
                .forEach(run -> run.phase = RunPhase.UNCONFIRMED);
        answered(worker, 5);
        crash(worker);
        assertEquals(0, confirmed.crashRecord.attributed());
        assertEquals(0, unanswered.crashRecord.attributed());
        assertEquals(1, unanswered.crashRecord.crashes());
    }

    /** Guards against a job that is given up because its tasks were sent to workers that had ended before. */
    @Test
    void startThatAnIdleWorkerNeverAnsweredDoesNotCount() {
        PoolWorker worker = worker("w", false);
        worker.answered(NOW.plus(-4_500).steadyMillis());
        JobTaskState task = run(worker, 0);
        task.runs.get(0).phase = RunPhase.UNCONFIRMED;
        worker.startUnanswered(task.runs.get(0), NOW.plus(20).steadyMillis());
        crash(worker);
        assertEquals(CrashRecord.NONE, task.crashRecord);
    }

    /** Guards against crashes that are not counted, as the worker crashed before it answered the start. */
    @Test
    void startThatABusyWorkerNeverAnsweredCounts() {
        PoolWorker worker = worker("w", false);
        worker.answered(NOW.plus(-800).steadyMillis());
        JobTaskState task = run(worker, 0);
        task.runs.get(0).phase = RunPhase.UNCONFIRMED;
        worker.startUnanswered(task.runs.get(0), NOW.plus(20).steadyMillis());
        crash(worker);
        assertEquals(1, task.crashRecord.crashes());
    }

    @Test
    void runThatSurvivedItsStartIsNotSuspected() {
        PoolWorker worker = worker("w", false);
        JobTaskState lasting = run(worker, -5_000);
        answered(worker, 20);
        crash(worker);
        assertEquals(CrashRecord.NONE, lasting.crashRecord);
    }

    @Test
    void runThatIsBeingStoppedCountsUntilItHasEnded() {
        PoolWorker worker = worker("w", false);
        JobTaskState task = run(worker, 0);
        answered(worker, 20);
        task.runs.get(0).phase = RunPhase.STOPPING;
        task.runs.get(0).wanted = false;
        crash(worker);
        assertEquals(1, task.crashRecord.crashes());
    }

    @Test
    void workersThatDrainOrAreOnlySilentHaveNotCrashed() {
        PoolWorker draining = worker("draining", true);
        PoolWorker silent = worker("silent", false);
        List<JobTaskState> tasks = List.of(run(draining, 0), run(silent, 0));
        List.of(draining, silent).forEach(worker -> answered(worker, 20));
        crash(draining);
        workerLosses.releaseRuns(silent, "lease-lapsed", NOW.plus(9_000));
        tasks.forEach(task -> assertEquals(CrashRecord.NONE, task.crashRecord));
    }

    /**
     * Guards against a task that crashed idle workers just chosen to be moved: those crashes were not counted, so it was
     * started again without a bound.
     */
    @Test
    void crashOfAWorkerThatIsBeingEvacuatedCountsButIsNotAttributed() {
        PoolWorker evacuating = worker("evacuating", false);
        JobTaskState task = run(evacuating, 0);
        answered(evacuating, 20);
        evacuating.evacuating = true;
        crash(evacuating);
        assertEquals(1, task.crashRecord.crashes());
        assertEquals(0, task.crashRecord.attributed());
    }

    @Test
    void provedTaskFailsItsJobAndNoOther() {
        JobTaskState task = null;
        JobTaskState other = null;
        for (int i = 0; i < 2; i++) {
            PoolWorker worker = worker("w" + i, false);
            task = task == null ? run(worker, 0) : runAgain(task, worker);
            other = other == null ? run(worker, -1_000) : runAgain(other, worker);
            worker.runs
                    .values()
                    .forEach(run -> run.startedMillis -= run.task.id.job().endsWith("2") ? 1_000 : 0);
            answered(worker, 20);
            crash(worker);
        }
        assertEquals(JobPhase.FAILED, task.step.occurrence.job.phase);
        assertEquals(JobPhase.QUEUED, other.step.occurrence.job.phase);
    }

    @Test
    void runThatSurvivesClearsItsTask() {
        PoolWorker worker = worker("w", false);
        JobTaskState task = run(worker, 0);
        task.crashRecord = new CrashRecord(2, 1, 0, true);
        Run run = task.runs.get(0);
        WorkerRunStatus status = new WorkerRunStatus(
                3_100, List.of(new WorkerRunStatus.Running(task.id.text(), run.number, "", 50, 0)), List.of());
        runTracker.statusReceived(worker, status, NOW.plus(3_100));
        assertEquals(CrashRecord.NONE, task.crashRecord);
    }

    @Test
    void crashBeforeANewOwnerHeardOfTheWorkerCounts() {
        JobTaskState task = run(worker("w", false), 0);
        byte[] document = JobDocumentCodec.encode(task.step.occurrence.job);
        for (boolean reported : new boolean[] {false, true}) {
            PoolState opened = new PoolState(
                    "pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
            PoolTakeover takeover = new PoolTakeover(opened);
            takeover.read(Map.of(task.id.job(), document), NOW);
            takeover.begin(List.of(), NOW.steadyMillis(), NOW);
            PoolWorker worker = opened.workers.get("w");
            if (reported) {
                runTracker(opened).statusReceived(worker, new WorkerRunStatus(0, List.of(), List.of()), NOW);
            }
            workerLosses(opened).workerEnded(worker, "not-on-any-machine", NOW.plus(1_000));
            assertEquals(
                    reported ? 0 : 1, opened.task(task.id.text()).crashRecord.crashes(), "reported: " + reported);
        }
    }

    @Test
    void restartUnderTheSameIdentifierIsACrash() {
        PoolWorker worker = worker("w", false);
        JobTaskState task = run(worker, 0);
        answered(worker, 20);
        task.runs.get(0).listed = true;
        worker.incarnation = new WorkerIncarnation(5_000);
        new WorkerRestarts(state, workerLosses).registered(worker, new WorkerIncarnation(9_000), NOW.plus(500));
        assertEquals(new CrashRecord(1, 1, 1, true), task.crashRecord);
    }

    private static WorkerLosses workerLosses(PoolState state) {
        return new WorkerLosses(state, new JobEnds(state, new OrderSender(state)));
    }

    private static RunTracker runTracker(PoolState state) {
        OrderSender orderSender = new OrderSender(state);
        JobEnds jobEnds = new JobEnds(state, orderSender);
        return new RunTracker(state, orderSender, new RunStatistics(state), new WorkerLosses(state, jobEnds), jobEnds);
    }

    private void crash(PoolWorker worker) {
        workerLosses.workerEnded(worker, "not-on-any-machine", NOW.plus(700));
    }

    private static void answered(PoolWorker worker, long afterMillis) {
        worker.answered(NOW.plus(afterMillis).steadyMillis());
        worker.holdSentMillis = worker.lastAnswerMillis;
        worker.holdUnanswered(NOW.plus(700).steadyMillis());
    }

    private JobTaskState run(PoolWorker worker, long startedAfterMillis) {
        StepSpec spec = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        String id = String.format("%016x", ++lastJob);
        JobState job = new JobState(new JobSpec(id, "q", "", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.openDueOccurrences(NOW);
        job.stored = true;
        state.add(job);
        JobTaskState task = job.occurrences.get(0).steps[0].tasks[0];
        runAgain(task, worker).runs.get(0).startedMillis += startedAfterMillis;
        return task;
    }

    private static JobTaskState runAgain(JobTaskState task, PoolWorker worker) {
        worker.add(new Run(task, ++task.lastRunNumber, worker, RunPhase.RUNNING, NOW.steadyMillis()));
        return task;
    }

    private PoolWorker worker(String id, boolean draining) {
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                id, "", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("a", "r"), SIZE, draining));
        worker.fenced = true;
        state.workers.put(id, worker);
        return worker;
    }
}
