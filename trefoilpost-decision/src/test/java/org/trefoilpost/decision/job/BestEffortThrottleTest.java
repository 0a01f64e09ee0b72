package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

/** Guards against best-effort tasks that keep a pace that nobody ordered, or stand still, as an order was lost or its sender was. */
class BestEffortThrottleTest {
    private static final String SERVING = "00000000000000aa";
    private static final String FILLING = "00000000000000bb";
    private static final long TARGET_MILLIS = 100;
    private static final long CALM = 10;
    private static final long NEAR_TARGET = 60;
    private static final long OVER_TARGET = 150;
    /** Longer than the time between two changes of the pace. */
    private static final long STEP_MILLIS = 700;

    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final List<WorkerOrder> sent = new ArrayList<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private RecordedActions actions;
    private PoolScheduler scheduler;

    @Test
    void pacesAreHalvedOverTheTargetAndRaisedWhenItIsCalm() {
        startBoth();
        assertEquals(List.of(), paces(CALM));
        assertEquals(List.of(50), answeredPaces(OVER_TARGET));
        assertEquals(List.of(), paces(NEAR_TARGET));
        assertEquals(List.of(65), answeredPaces(CALM));
    }

    @Test
    void orderWithoutAnAnswerIsRepeated() {
        startBoth();
        answer(orders(OVER_TARGET), OrderResult.NO_ANSWER);
        assertEquals(List.of(50), answeredPaces(NEAR_TARGET));
        assertEquals(List.of(), paces(NEAR_TARGET));
    }

    /** An order without an answer may be carried out after one that was answered. */
    @Test
    void paceIsOrderedAgainWhenAnOrderWithoutAnAnswerCanNoLongerBeCarriedOut() {
        startBoth();
        answer(orders(OVER_TARGET), OrderResult.NO_ANSWER);
        long lateUntilMillis = now.steadyMillis() + Run.MAX_ORDER_DELAY_MILLIS;
        int percent = 50;
        while (percent < RunPace.FULL_PERCENT) {
            percent = answeredPaces(CALM).get(0);
        }
        while (now.steadyMillis() + STEP_MILLIS < lateUntilMillis) {
            assertEquals(List.of(), paces(CALM));
        }
        assertEquals(List.of(RunPace.FULL_PERCENT), answeredPaces(CALM));
        assertEquals(List.of(), paces(CALM));
    }

    @Test
    void rejectedOrderLeavesThePaceAsItWas() {
        startBoth();
        assertEquals(List.of(50), answeredPaces(OVER_TARGET));
        answer(orders(OVER_TARGET), OrderResult.REFUSED);
        assertEquals(List.of(), paces(NEAR_TARGET));
        assertEquals(List.of(25), answeredPaces(OVER_TARGET));
    }

    @Test
    void noOtherPaceIsOrderedWhileAnOrderIsUnderWay() {
        startBoth();
        assertEquals(List.of(50), paces(OVER_TARGET));
        assertEquals(List.of(), paces(OVER_TARGET));
    }

    @Test
    void taskThatAnEarlierOwnerMayHaveStoppedGoesOn() {
        startBoth();
        takeOver();
        int percent = 0;
        for (int i = 0; i < 10 && percent < RunPace.FULL_PERCENT; i++) {
            percent = answeredPaces(CALM).get(0);
        }
        assertEquals(RunPace.FULL_PERCENT, percent);
        assertEquals(List.of(), paces(CALM));
    }

    @Test
    void taskOfAnEarlierOwnerGoesOnAtFullPaceBesideNoTaskThatItDisturbs() {
        startBoth();
        takeOver();
        assertEquals(List.of(RunPace.FULL_PERCENT), answeredPaces(0));
    }

    @Test
    void taskOfAnEarlierOwnerKeepsItsPaceWhileResponseTimesAreNearTheTarget() {
        startBoth();
        takeOver();
        assertEquals(List.of(), paces(NEAR_TARGET));
    }

    @Test
    void taskOfAnEarlierOwnerIsNotSpedUpOverTheTarget() {
        startBoth();
        takeOver();
        assertEquals(List.of(0), answeredPaces(OVER_TARGET));
    }

    /** Starts a task that serves users, and one that uses what it leaves, on the same worker. */
    private void startBoth() {
        open();
        advance(List.of());
        StepSpec serving = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .service("image", TARGET_MILLIS, 1)
                .longRunning(true)
                .build();
        StepSpec filling = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .longRunning(true)
                .bestEffort(true)
                .build();
        submit(SERVING, serving);
        submit(FILLING, filling);
        for (int i = 0; i < 3; i++) {
            advance(List.of());
            storeChanges();
        }
        advance(both(CALM));
    }

    private void submit(String id, StepSpec step) {
        scheduler.submit(new JobSpec(id, "q", "text", List.of(step), JobSpec.Schedule.ONCE), true, now);
    }

    private void takeOver() {
        storeChanges();
        open();
        scheduler.statusReceived("w", new WorkerRunStatus(now.steadyMillis(), both(NEAR_TARGET), List.of()), now);
    }

    private void open() {
        sent.clear();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", new PoolTimeouts(5_000, 120_000, 2_000), actions);
        scheduler.configure(Map.of("q", QUEUE), Teams.NONE);
        RegisteredWorker worker = new RegisteredWorker(
                "w",
                "m",
                "pool",
                WorkerAddress.of("10.0.0.1", 80),
                "dc",
                List.of(),
                new ResourceAmount(8_000, 8_000, 0),
                false);
        scheduler.open(Map.copyOf(stored), List.of(worker), now.steadyMillis(), now);
    }

    private static List<WorkerRunStatus.Running> both(long servingLoad) {
        return List.of(running(SERVING, servingLoad), running(FILLING, 0));
    }

    private static WorkerRunStatus.Running running(String job, long load) {
        return new WorkerRunStatus.Running(job + ".0.0.0", 1, "", RunPace.FULL_PERCENT, load);
    }

    /** Reports a status and lets the scheduler decide, with all starts answered. */
    private void advance(List<WorkerRunStatus.Running> running) {
        sent.clear();
        now = now.plus(STEP_MILLIS);
        scheduler.statusReceived("w", new WorkerRunStatus(now.steadyMillis(), running, List.of()), now);
        scheduler.tick(OrderPermission.ALL, now);
        List.copyOf(sent).stream()
                .filter(WorkerOrder.Start.class::isInstance)
                .forEach(start -> scheduler.orderAnswered(start, OrderResult.OK, now));
    }

    private void storeChanges() {
        scheduler.tick(OrderPermission.ALL, now);
        actions.takeCommit().ifPresent(number -> {
            stored.putAll(actions.lastCommit().puts());
            scheduler.commitStored(number, now);
        });
    }

    private List<WorkerOrder.Pace> orders(long servingLoad) {
        advance(both(servingLoad));
        return sent.stream()
                .filter(WorkerOrder.Pace.class::isInstance)
                .map(WorkerOrder.Pace.class::cast)
                .toList();
    }

    private void answer(List<WorkerOrder.Pace> orders, OrderResult result) {
        orders.forEach(order -> scheduler.orderAnswered(order, result, now));
    }

    private List<Integer> paces(long servingLoad) {
        return orders(servingLoad).stream().map(WorkerOrder.Pace::percent).toList();
    }

    private List<Integer> answeredPaces(long servingLoad) {
        List<WorkerOrder.Pace> orders = orders(servingLoad);
        answer(orders, OrderResult.OK);
        return orders.stream().map(WorkerOrder.Pace::percent).toList();
    }
}
