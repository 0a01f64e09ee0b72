package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

/** Guards against a task that waits beside an idle worker because the worker on which it was started last is lost. */
class LostWorkerTest {
    private static final long BORN = 1_764_800_000_000L;
    private static final long REBORN = BORN + 9_000;
    private static final long STEP_MILLIS = 100;
    /** Time after which no lease that an earlier owner has granted is left. */
    private static final long FOREIGN_LEASE_MILLIS = 15_000;
    /** Until when the lease of a start that is sent at first has expired, with a margin for slow clocks. */
    private static final long LEASE_MILLIS = 3_500;

    private static final ResourceAmount SIZE = new ResourceAmount(4_000, 8_000, 0);
    private static final PoolTimeouts TIMEOUTS = new PoolTimeouts(5_000, 10_000, 120_000, 2_000);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);
    private static final String JOB = "0123456789abcdef";
    private static final String TASK = JOB + ".0.0.0";

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private Moment startSent;
    private RecordedActions actions;
    private PoolScheduler scheduler;
    private WorkerOrder.Start firstStart;
    private String lostWorker;
    private int stopsWithoutAnAnswer;

    @BeforeEach
    void startATaskOnAWorkerThatDoesNotAnswer() {
        open(registration("w1", BORN), registration("w2", BORN));
        now = now.plus(FOREIGN_LEASE_MILLIS);
        report("w1");
        report("w2");
        scheduler.submit(
                new JobSpec(
                        JOB,
                        "q",
                        "text",
                        List.of(StepSpec.builder()
                                .tasks(1, SIZE)
                                .estimateMillis(1_000)
                                .longRunning(true)
                                .build()),
                        JobSpec.Schedule.ONCE),
                true,
                now);
        store();
        tick();
        startSent = now;
        firstStart = orders(WorkerOrder.Start.class).get(0);
        lostWorker = firstStart.worker();
        sent.clear();
        now = now.plus(700);
        scheduler.orderAnswered(firstStart, OrderResult.NO_ANSWER, now);
    }

    @Test
    void taskOfAWorkerThatHasEndedStartsElsewhereOnceItIsGone() {
        advanceTo(2_000);
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        tick();
        assertEquals(0, orders(WorkerOrder.Start.class).size(), "the worker may start again under its identifier");
        lostWorkerIsGone(GoneReason.REPLACED);
        tick();
        assertStartedElsewhere(2);
    }

    @Test
    void taskOfAnUnreachableWorkerThatIsGoneStartsElsewhereOnceItsLeaseHasExpired() {
        advanceTo(2_000);
        lostWorkerIsGone(GoneReason.NOT_REGISTERED);
        advanceTo(3_000);
        assertEquals(0, orders(WorkerOrder.Start.class).size(), "the worker may carry the start out under its lease");
        advanceTo(LEASE_MILLIS);
        assertStartedElsewhere(2);
    }

    /** Guards against a worker that registers again unseen, as the registry has not been heard of since it counted as gone. */
    @Test
    void taskIsNotStartedElsewhereIfItIsNoLongerKnownThatTheWorkerIsGone() {
        advanceTo(2_000);
        lostWorkerIsGone(GoneReason.NOT_REGISTERED);
        scheduler.findGoneWorkers(worker -> Optional.empty(), now);
        advanceTo(LEASE_MILLIS);
        assertEquals(0, orders(WorkerOrder.Start.class).size());
    }

    @Test
    void taskStartsElsewhereOnceAnotherWorkerAnswersAtTheAddress() {
        anotherWorkerAnswersAtTheAddress();
        report(idleWorker());
        tick();
        assertStartedElsewhere(2);
    }

    /** Guards against a job that is ended for crashing workers, as starts that may never have been carried out count against it. */
    @Test
    void startWithoutAnAnswerIsNoCrashOfItsTask() {
        anotherWorkerAnswersAtTheAddress();
        assertEquals(0, actions.decisions("task-suspected").size());
    }

    /** Guards against a task to which a crash is attributed or not, by the order in which the end of its worker was learned. */
    @Test
    void startWithoutAnAnswerIsNoCrashOfItsTaskIfItsWorkerIsReplacedBeforeItHasEnded() {
        advanceTo(2_000);
        lostWorkerIsGone(GoneReason.REPLACED);
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        assertEquals(0, actions.decisions("task-suspected").size());
    }

    /** Guards against a task that runs twice, as its worker starts again and carries out the late start. */
    @Test
    void taskOfAWorkerThatMayStartAgainIsNotStartedElsewhereWhileItsStartMayBeLate() {
        advanceTo(2_000);
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        advanceTo(14_900);
        assertEquals(0, orders(WorkerOrder.Start.class).size());
        advanceTo(15_100);
        assertStartedElsewhere(2);
    }

    /** Guards against a second run on a worker that was taken for gone and starts again all the same. */
    @Test
    void workerThatStartsAgainAllTheSameIsToldToRefuseTheStart() {
        advanceTo(2_000);
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        scheduler.updateWorkers(List.of(registration(idleWorker(), BORN)), now);
        lostWorkerIsGone(GoneReason.NOT_REGISTERED);
        tick();
        assertStartedElsewhere(2);
        sent.clear();
        scheduler.updateWorkers(List.of(registration(lostWorker, REBORN), registration(idleWorker(), BORN)), now);
        tick();
        WorkerOrder.Stop stop = orders(WorkerOrder.Stop.class).get(0);
        assertEquals(List.of(lostWorker, TASK, 1), List.of(stop.worker(), stop.task(), stop.run()));
    }

    /** Guards against a second run on a worker that starts again, and carries the start out before the registry lists it. */
    @Test
    void workerThatIsGoneIsToldToRefuseTheStartUntilItAnswers() {
        advanceTo(2_000);
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        lostWorkerIsGone(GoneReason.NOT_REGISTERED);
        tick();
        WorkerOrder.Stop first = orders(WorkerOrder.Stop.class).get(0);
        assertEquals(List.of(lostWorker, TASK, 1), List.of(first.worker(), first.task(), first.run()));
        advanceTo(4_000);
        assertTrue(stopsWithoutAnAnswer > 5, "the start may still be late");
        scheduler.orderAnswered(first, OrderResult.OK, now);
        stopsWithoutAnAnswer = 0;
        advanceTo(5_000);
        assertEquals(0, stopsWithoutAnAnswer, "a worker that has answered refuses the start");
    }

    /** Guards against many calls at a time to an address where nothing answers. */
    @Test
    void stopOfAReleasedStartIsNotSentAgainWhileItIsUnderWay() {
        advanceTo(2_000);
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        lostWorkerIsGone(GoneReason.NOT_REGISTERED);
        for (int i = 0; i < 10; i++) {
            now = now.plus(STEP_MILLIS);
            tick();
        }
        assertEquals(1, orders(WorkerOrder.Stop.class).size());
    }

    /** Guards against a restarted worker that counts as replaced by one that was born before it. */
    @Test
    void evidenceIsSoughtForThePresentIncarnation() {
        scheduler.statusReceived(lostWorker, new WorkerRunStatus(5, List.of(), List.of(), REBORN), now);
        List<Long> born = new ArrayList<>();
        advanceTo(1_500);
        scheduler.findGoneWorkers(
                worker -> {
                    born.add(worker.born());
                    return Optional.empty();
                },
                now);
        assertEquals(List.of(REBORN), born);
    }

    /** Guards against a worker that is taken for gone for good although its entry is back. */
    @Test
    void workerWhoseEntryIsBackMayStartAgain() {
        scheduler.updateWorkers(List.of(registration(idleWorker(), BORN)), now);
        lostWorkerIsGone(GoneReason.NOT_REGISTERED);
        scheduler.updateWorkers(List.of(registration(lostWorker, BORN), registration(idleWorker(), BORN)), now);
        advanceTo(14_900);
        assertEquals(0, orders(WorkerOrder.Start.class).size());
    }

    /** Guards against an owner that waits for the leases of an earlier one although the worker is gone. */
    @Test
    void newOwnerDoesNotWaitForAWorkerThatIsGone() {
        open(registration("w1", BORN), registration("w2", BORN));
        report(idleWorker());
        for (int i = 0; i < 2; i++) {
            orders(WorkerOrder.Hold.class).stream()
                    .filter(hold -> hold.worker().equals(lostWorker))
                    .forEach(hold -> scheduler.orderAnswered(hold, OrderResult.NO_ANSWER, now));
            sent.clear();
            now = now.plus(700);
            tick();
        }
        scheduler.workerEnded(lostWorker, "not-on-any-machine", now);
        tick();
        assertEquals(0, orders(WorkerOrder.Start.class).size(), "the worker may start again under its identifier");
        report(idleWorker());
        lostWorkerIsGone(GoneReason.REPLACED);
        tick();
        assertEquals(1, orders(WorkerOrder.Start.class).size());
    }

    private void assertStartedElsewhere(int run) {
        List<WorkerOrder.Start> starts = orders(WorkerOrder.Start.class);
        assertEquals(1, starts.size());
        assertEquals(
                List.of(idleWorker(), run),
                List.of(starts.get(0).worker(), starts.get(0).run()));
        scheduler.findGoneWorkers(worker -> fail("evidence is sought for " + worker.id()), now);
    }

    private void anotherWorkerAnswersAtTheAddress() {
        tick();
        WorkerOrder.Hold hold = orders(WorkerOrder.Hold.class).stream()
                .filter(order -> order.worker().equals(lostWorker))
                .findFirst()
                .orElseThrow();
        scheduler.orderAnswered(hold, OrderResult.OTHER_LIFE, now);
    }

    private void lostWorkerIsGone(GoneReason reason) {
        scheduler.findGoneWorkers(
                worker -> worker.id().equals(lostWorker) ? Optional.of(reason) : Optional.empty(), now);
    }

    private String idleWorker() {
        return lostWorker.equals("w1") ? "w2" : "w1";
    }

    private void open(RegisteredWorker... workers) {
        sent.clear();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", TIMEOUTS, actions);
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        scheduler.load(Map.copyOf(stored), now);
        scheduler.open(List.of(workers), List.of(), now.steadyMillis(), now);
        tick();
    }

    private static RegisteredWorker registration(String id, long born) {
        return new RegisteredWorker(
                id, "m-" + id, "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of("r"), SIZE, false, born);
    }

    /** Passes the status of a worker without runs to the scheduler. */
    private void report(String worker) {
        scheduler.statusReceived(worker, new WorkerRunStatus(now.steadyMillis(), List.of(), List.of(), BORN), now);
    }

    private void store() {
        now = now.plus(STEP_MILLIS);
        tick();
        actions.takeCommit().ifPresent(number -> {
            stored.putAll(actions.lastCommit().puts());
            scheduler.commitStored(number, now);
        });
    }

    /** Moves the time to that many milliseconds after the start was sent; no call to the lost worker is answered. */
    private void advanceTo(long millis) {
        while (now.steadyMillis() < startSent.steadyMillis() + millis) {
            now = now.plus(STEP_MILLIS);
            tick();
            List<WorkerOrder> calls = sent.stream()
                    .filter(order -> !(order instanceof WorkerOrder.Start))
                    .filter(order -> order.worker().equals(lostWorker))
                    .toList();
            stopsWithoutAnAnswer += (int)
                    calls.stream().filter(WorkerOrder.Stop.class::isInstance).count();
            sent.removeIf(order -> !(order instanceof WorkerOrder.Start));
            calls.forEach(call -> scheduler.orderAnswered(call, OrderResult.NO_ANSWER, now));
            report(idleWorker());
        }
    }

    private void tick() {
        scheduler.tick(OrderPermission.ALL, now);
    }

    private <T extends WorkerOrder> List<T> orders(Class<T> kind) {
        return sent.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
