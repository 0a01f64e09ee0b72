package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

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

    private final PoolWithOneWorker pool = new PoolWithOneWorker(STEP_MILLIS);

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
        long lateUntilMillis = pool.now().steadyMillis() + Run.MAX_ORDER_DELAY_MILLIS;
        int percent = 50;
        while (percent < RunPace.FULL_PERCENT) {
            percent = answeredPaces(CALM).get(0);
        }
        while (pool.now().steadyMillis() + STEP_MILLIS < lateUntilMillis) {
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
        advance(List.of());
        pool.submit(
                SERVING,
                StepSpec.builder()
                        .tasks(1, new ResourceAmount(1_000, 100, 0))
                        .service("image", TARGET_MILLIS, 1)
                        .longRunning(true)
                        .build());
        pool.submit(
                FILLING,
                StepSpec.builder()
                        .tasks(1, new ResourceAmount(1_000, 100, 0))
                        .longRunning(true)
                        .bestEffort(true)
                        .build());
        pool.storeChanges();
        advance(List.of());
        pool.orders(WorkerOrder.Start.class).forEach(start -> pool.answer(start, OrderResult.OK));
        advance(both(CALM));
    }

    private void takeOver() {
        pool.storeChanges();
        pool.replaceOwner();
        pool.report(both(NEAR_TARGET), List.of());
    }

    private static List<WorkerRunStatus.Running> both(long servingLoad) {
        return List.of(running(SERVING, servingLoad), running(FILLING, 0));
    }

    private static WorkerRunStatus.Running running(String job, long load) {
        return new WorkerRunStatus.Running(job + ".0.0.0", 1, "", RunPace.FULL_PERCENT, load);
    }

    /** Reports a status and lets the scheduler decide. */
    private void advance(List<WorkerRunStatus.Running> running) {
        pool.report(running, List.of());
        pool.advance();
    }

    private List<WorkerOrder.Pace> orders(long servingLoad) {
        advance(both(servingLoad));
        return pool.orders(WorkerOrder.Pace.class);
    }

    private void answer(List<WorkerOrder.Pace> orders, OrderResult result) {
        orders.forEach(order -> pool.answer(order, result));
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
