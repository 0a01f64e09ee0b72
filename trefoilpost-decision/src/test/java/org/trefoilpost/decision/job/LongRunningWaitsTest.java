package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.crash.CrashEvidence;
import org.trefoilpost.decision.job.crash.CrashRecord;
import org.trefoilpost.decision.job.team.PoolTeamLimits;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamGrantWriter;
import org.trefoilpost.decision.job.team.TeamGrants;
import org.trefoilpost.decision.job.team.Teams;

class LongRunningWaitsTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final String JOB = "0123456789abcdef";
    private static final String TEAM = "a";
    private static final ResourceAmount DEMAND = new ResourceAmount(1_000, 1_000, 0);
    private static final ResourceAmount CAPACITY = new ResourceAmount(4_000, 4_000, 0);
    private static final PoolTimeouts TIMEOUTS = new PoolTimeouts(5_000, 10_000, 120_000, 2_000);
    private static final QueueConfig QUEUE = queue(Optional.empty());

    private final RecordedActions actions = new RecordedActions(new ArrayList<>());
    private final PoolState state = new PoolState("pool", TIMEOUTS, actions);
    private final LongRunningWaits waits = new LongRunningWaits(state, new PlacementAdvice(state));
    private OrderPermission permission = OrderPermission.ALL;
    private Moment now = new Moment(1_000_000, 2_000_000);

    @BeforeEach
    void activate() {
        state.active = true;
    }

    @Test
    void taskHeldByAStartWithoutAnswerOnAnEndedWorkerNamesRunAndWorker() {
        JobTaskState task = addTask(longRunning().build());
        PoolWorker worker = addWorker("w", BORN);
        Run run = addRun(task, 2, worker, RunPhase.UNCONFIRMED);
        run.startedMillis = now.steadyMillis() - 40;
        worker.missedCalls = 3;
        worker.ended = true;
        worker.listed = false;
        observeAfter(4_000);
        Map<String, Object> line = onlyLine();
        assertEquals(
                Map.ofEntries(
                        Map.entry("job", JOB),
                        Map.entry("task", JOB + ".0.0.0"),
                        Map.entry("pool", "pool"),
                        Map.entry("wait", 4_000L),
                        Map.entry("reason", "run-unresolved"),
                        Map.entry("run", 2),
                        Map.entry("worker", "w"),
                        Map.entry("phase", "UNCONFIRMED"),
                        Map.entry("age", 4_040L),
                        Map.entry("confirmed", false),
                        Map.entry("stop", "not-sent"),
                        Map.entry("ended", true),
                        Map.entry("listed", false),
                        Map.entry("mayRestart", true),
                        Map.entry("answerAge", 4_000L),
                        Map.entry("missedCalls", 3)),
                line);
        assertEquals(Map.of("run-unresolved", 4_000L), waits.longestMillis());
    }

    @Test
    void taskHeldByAStopWithoutAnswerSaysSo() {
        Run run = addRun(addTask(longRunning().build()), 1, addWorker("w", BORN), RunPhase.STOPPING);
        run.listed = true;
        run.wanted = false;
        run.stopSentMillis = now.steadyMillis() + 100;
        run.stopInFlight = true;
        observeAfter(4_000);
        assertEquals("run-unresolved", onlyLine().get("reason"));
        assertEquals("STOPPING", onlyLine().get("phase"));
        assertEquals("unanswered", onlyLine().get("stop"));
    }

    @Test
    void answeredStopIsToldFromOneWithoutAnswer() {
        Run run = addRun(addTask(longRunning().build()), 1, addWorker("w", BORN), RunPhase.UNCONFIRMED);
        run.stopAnswered = true;
        observeAfter(4_000);
        assertEquals("answered", onlyLine().get("stop"));
    }

    @Test
    void runOnASilentWorkerWaitsSinceItsLastAnswer() {
        PoolWorker worker = addWorker("w", BORN);
        addRun(addTask(longRunning().build()), 1, worker, RunPhase.RUNNING);
        observeAfter(10_000);
        assertEquals(Map.of(), waits.longestMillis(), "it runs");
        worker.lastAnswerMillis = now.steadyMillis() + 200;
        worker.missedCalls = 1;
        observeAfter(4_000);
        assertEquals(Map.of("worker-silent", 3_800L), waits.longestMillis());
        assertEquals("worker-silent", onlyLine().get("reason"));
    }

    @Test
    void takeoverNamesAWorkerThatHasNotReported() {
        addTask(longRunning().build()).mayHaveUnseenRun = true;
        PoolWorker last = addWorker("w1", BORN);
        state.unresolvedWorkers.addAll(Set.of(addWorker("w2", BORN), last));
        last.lease.assumeUntil(now.steadyMillis() + 14_400);
        last.missedCalls = 2;
        state.foreignOrdersUntilMillis = now.steadyMillis() + 15_000;
        observeAfter(4_000);
        assertEquals("runs-unseen", onlyLine().get("reason"));
        assertEquals(2, onlyLine().get("unresolvedWorkers"));
        assertEquals("w1", onlyLine().get("worker"));
        assertEquals(10_400L, onlyLine().get("leaseRemaining"));
        assertEquals(2, onlyLine().get("missedCalls"));
        assertEquals(true, onlyLine().get("listed"));
        assertEquals(true, onlyLine().get("registryComplete"));
        assertEquals(11_000L, onlyLine().get("foreignOrdersRemaining"));
    }

    @Test
    void takeoverBeforeTheRegistryIsCompleteNamesNoWorker() {
        addTask(longRunning().build()).mayHaveUnseenRun = true;
        state.registryCompleteMillis = now.steadyMillis() + 5_000;
        observeAfter(4_000);
        assertEquals("runs-unseen", onlyLine().get("reason"));
        assertEquals(false, onlyLine().get("registryComplete"));
        assertFalse(onlyLine().containsKey("worker"));
    }

    @Test
    void startsThatAreNotPermittedAreTold() {
        addTask(longRunning().build());
        addWorker("w", BORN);
        permission = OrderPermission.NO_STARTS;
        observeAfter(4_000);
        assertEquals("no-permission", onlyLine().get("reason"));
        assertEquals("NO_STARTS", onlyLine().get("permission"));
    }

    @Test
    void poolThatIsNotActiveIsTold() {
        addTask(longRunning().build());
        state.active = false;
        observeAfter(4_000);
        assertEquals("no-permission", onlyLine().get("reason"));
        assertEquals(false, onlyLine().get("active"));
    }

    @Test
    void blockedTaskTellsForHowLong() {
        addTask(longRunning().build()).blockedUntilMillis = now.steadyMillis() + 9_000;
        observeAfter(4_000);
        assertEquals("paused", onlyLine().get("reason"));
        assertEquals(5_000L, onlyLine().get("remaining"));
    }

    @Test
    void jobWithoutAKnownQueueIsTold() {
        addTask(longRunning().build()).step.occurrence.job.queue = null;
        observeAfter(4_000);
        assertEquals("queue-unknown", onlyLine().get("reason"));
        assertEquals("q", onlyLine().get("queue"));
    }

    @Test
    void suspectedTaskTellsItsIsolation() {
        JobTaskState task = addTask(longRunning().build());
        task.crashedMillis = now.steadyMillis();
        CrashEvidence evidence = new CrashEvidence(true, true, true, true, true);
        while (!task.isolation().name().equals("ALONE")) {
            task.crashRecord = task.crashRecord.withCrash(evidence);
        }
        observeAfter(4_000);
        assertEquals("suspected", onlyLine().get("reason"));
        assertEquals("ALONE", onlyLine().get("isolation"));
        assertEquals(4_000L, onlyLine().get("crashAge"));
        task.crashRecord = CrashRecord.NONE;
        observeAfter(500);
        assertEquals(Set.of("no-worker"), waits.longestMillis().keySet());
    }

    @Test
    void limitOfTheTeamIsTold() {
        Teams teams = Teams.builder()
                .team(new TeamConfig(TEAM, 1, new ResourceAmount(4_000, 0, 0)))
                .build();
        PoolTeamLimits limits = new PoolTeamLimits("pool", () -> 1, new UnansweredGrants());
        limits.configure(teams, 1, now.steadyMillis());
        state.teamGate = new TeamGate(state, limits);
        JobState job = addTask(longRunning().build()).step.occurrence.job;
        job.spec = job.spec.withTeam(Optional.of(TEAM));
        addWorker("w", BORN);
        observeAfter(4_000);
        assertEquals("team-limit", onlyLine().get("reason"));
        assertEquals(TEAM, onlyLine().get("team"));
    }

    @Test
    void gangWaitsForItsOtherTask() {
        JobTaskState task =
                addTask(longRunning().tasks(2, DEMAND).gang(true, false).build());
        addRun(task, 1, addWorker("w", BORN), RunPhase.UNCONFIRMED);
        observeAfter(4_000);
        assertEquals(Map.of("run-unresolved", 4_000L, "gang", 4_000L), waits.longestMillis());
    }

    @Test
    void missingWorkerIsTold() {
        addTask(longRunning().placement("ssd", "", 0).build());
        addWorker("w", BORN);
        observeAfter(4_000);
        assertEquals("no-worker", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("workers"));
        assertEquals(0, onlyLine().get("suiting"));
    }

    @Test
    void pausedAndSilentWorkersAreCounted() {
        addTask(longRunning().build());
        addWorker("w1", BORN).pausedUntilMillis = now.steadyMillis() + 9_000;
        addWorker("w2", BORN).missedCalls = 1;
        observeAfter(4_000);
        assertEquals("no-worker", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("paused"));
        assertEquals(1, onlyLine().get("silent"));
    }

    @Test
    void fullWorkersAreTold() {
        addTask(longRunning().tasks(1, new ResourceAmount(5_000, 1_000, 0)).build());
        addWorker("w", BORN);
        observeAfter(4_000);
        assertEquals("no-room", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("suiting"));
        assertEquals(0, onlyLine().get("withRoom"));
    }

    @Test
    void missingAdviceIsTold() {
        JobTaskState task = addTask(longRunning().build());
        task.step.occurrence.job.queue = queue(Optional.of(new QueueConfig.AdvicePolicy(1, 1, 5_000)));
        addWorker("w", BORN);
        observeAfter(4_000);
        assertEquals("advice", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("withRoom"));
        assertEquals(0, onlyLine().get("advised"));
    }

    @Test
    void workersWithTooManyStartsInFlightAreTold() {
        addTask(longRunning().build());
        addWorker("w", BORN).startsInFlight = Placer.MAX_STARTS_IN_FLIGHT;
        observeAfter(4_000);
        assertEquals("workers-busy", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("advised"));
        assertEquals(0, onlyLine().get("ready"));
    }

    @Test
    void freeWorkerThatIsNotUsedIsTold() {
        addTask(longRunning().build());
        addWorker("w", BORN).lastAnswerMillis = now.steadyMillis() + 3_900;
        observeAfter(4_000);
        assertEquals("not-placed", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("ready"));
    }

    @Test
    void workerThatHasNotAnsweredLatelyIsTold() {
        addTask(longRunning().build());
        addWorker("w", BORN);
        observeAfter(4_000);
        assertEquals("workers-busy", onlyLine().get("reason"));
        assertEquals(1, onlyLine().get("advised"));
        assertEquals(0, onlyLine().get("ready"));
    }

    @Test
    void waitGoesOnThroughRunsThatWereNeverConfirmed() {
        JobTaskState task = addTask(longRunning().build());
        PoolWorker worker = addWorker("w", BORN);
        Run confirmed = addRun(task, 1, worker, RunPhase.RUNNING);
        observeAfter(2_000);
        worker.remove(confirmed);
        observeAfter(500);
        Run unanswered = addRun(task, 2, worker, RunPhase.STARTING);
        observeAfter(500);
        worker.remove(unanswered);
        worker.answered(now.steadyMillis());
        observeAfter(500);
        assertEquals(Map.of("not-placed", 1_500L), waits.longestMillis());
        addRun(task, 3, worker, RunPhase.RUNNING);
        observeAfter(500);
        assertEquals(Map.of(), waits.longestMillis());
    }

    @Test
    void onlyOpenStoredLongRunningTasksAreObserved() {
        addTask("0000000000000001", StepSpec.builder().tasks(1, DEMAND).build());
        addTask("0000000000000002", longRunning().build()).step.occurrence.job.stored = false;
        addTask("0000000000000003", longRunning().build()).step.readyMillis = JobStepState.NOT_READY;
        JobState ended = addTask("0000000000000004", longRunning().build()).step.occurrence.job;
        state.end(ended, JobPhase.CANCELLED, now);
        observeAfter(4_000);
        assertEquals(Map.of(), waits.longestMillis());
        assertEquals(List.of(), actions.decisions("task-waiting"));
    }

    @Test
    void shortWaitIsMeasuredAndNotLogged() {
        addTask(longRunning().build());
        observeAfter(LongRunningWaits.LOGGED_WAIT_MILLIS);
        assertEquals(Map.of("no-worker", LongRunningWaits.LOGGED_WAIT_MILLIS), waits.longestMillis());
        assertEquals(List.of(), actions.decisions("task-waiting"));
    }

    @Test
    void oneLineASecondNamesTheLongestWait() {
        addTask("0000000000000001", longRunning().build());
        now = now.plus(1_000);
        addTask("0000000000000002", longRunning().build());
        now = now.plus(3_000);
        for (int millis = 0; millis < 10_000; millis += 10) {
            observeAfter(10);
        }
        List<Decision> lines = actions.decisions("task-waiting");
        assertEquals(10, lines.size());
        assertTrue(lines.stream().allMatch(line -> line.inputs().get("job").equals("0000000000000001")));
        assertTrue(lines.stream().allMatch(Decision::isFailure));
    }

    @Test
    void reasonsTakeTurnsSoThatALastingWaitHidesNoOther() {
        addTask("0000000000000001", longRunning().build());
        now = now.plus(60_000);
        PoolWorker draining = addWorker("w", BORN);
        draining.registration = registration("w", BORN, true);
        addRun(addTask("0000000000000002", longRunning().build()), 1, draining, RunPhase.UNCONFIRMED);
        now = now.plus(4_000);
        for (int i = 0; i < 4; i++) {
            observeAfter(1_000);
        }
        assertEquals(
                List.of("no-worker", "run-unresolved", "no-worker", "run-unresolved"),
                actions.decisions("task-waiting").stream()
                        .map(line -> line.inputs().get("reason"))
                        .toList());
    }

    @Test
    void observationsKeepTheirDistance() {
        addTask(longRunning().build());
        observeAfter(1_000);
        Map<String, Long> observed = waits.longestMillis();
        observeAfter(LongRunningWaits.OBSERVATION_INTERVAL_MILLIS - 1);
        assertEquals(observed, waits.longestMillis());
        observeAfter(1);
        assertEquals(Map.of("no-worker", 1_500L), waits.longestMillis());
    }

    /** Guards against a task that no line explains, as a start without an answer keeps it from the placements. */
    @Test
    void schedulerLogsATaskThatAStartWithoutAnswerHolds() {
        PoolWithOneWorker pool = new PoolWithOneWorker(100);
        pool.report(List.of(), List.of());
        pool.submit(JOB, longRunning().build());
        pool.storeChanges();
        while (pool.orders(WorkerOrder.Start.class).isEmpty()) {
            pool.advance();
        }
        pool.answer(pool.orders(WorkerOrder.Start.class).get(0), OrderResult.NO_ANSWER);
        for (int i = 0; i < 40; i++) {
            pool.advance();
        }
        List<Decision> lines = pool.decisions("task-waiting");
        assertEquals(1, lines.size());
        assertEquals("run-unresolved", lines.get(0).inputs().get("reason"));
        assertEquals("UNCONFIRMED", lines.get(0).inputs().get("phase"));
        assertEquals(Set.of("run-unresolved"), pool.scheduler().longestWaits().keySet());
    }

    private void observeAfter(long millis) {
        now = now.plus(millis);
        waits.observeIfDue(permission, now);
    }

    private Map<String, Object> onlyLine() {
        List<Decision> lines = actions.decisions("task-waiting");
        assertEquals(1, lines.size());
        return lines.get(0).inputs();
    }

    private JobTaskState addTask(StepSpec step) {
        return addTask(JOB, step);
    }

    private JobTaskState addTask(String id, StepSpec step) {
        JobState job = new JobState(new JobSpec(id, "q", "text", List.of(step), JobSpec.Schedule.ONCE), QUEUE, now);
        job.stored = true;
        job.openDueOccurrences(now);
        state.add(job);
        return job.occurrences.get(0).steps[0].tasks[0];
    }

    private PoolWorker addWorker(String id, long born) {
        PoolWorker worker = new PoolWorker(registration(id, born, false));
        worker.fenced = true;
        worker.recordClock(500_000, now.steadyMillis());
        state.workers.put(id, worker);
        return worker;
    }

    private Run addRun(JobTaskState task, int number, PoolWorker worker, RunPhase phase) {
        Run run = new Run(task, number, worker, phase, now.steadyMillis());
        worker.add(run);
        return run;
    }

    private static StepSpec.Builder longRunning() {
        return StepSpec.builder().tasks(1, DEMAND).longRunning(true);
    }

    private static RegisteredWorker registration(String id, long born, boolean draining) {
        return new RegisteredWorker(
                id, "m", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("r"), CAPACITY, draining, born);
    }

    private static QueueConfig queue(Optional<QueueConfig.AdvicePolicy> advice) {
        return new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, advice, false);
    }

    /** Leaves all calls about grants without an answer. */
    private static final class UnansweredGrants implements TeamGrantWriter {
        @Override
        public void write(String team, TeamGrants grants) {}

        @Override
        public void read(String team) {}

        @Override
        public void logDecision(Decision decision) {}
    }
}
