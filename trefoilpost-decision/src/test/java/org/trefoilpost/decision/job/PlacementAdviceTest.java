package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

/**
 * Starts steps that need placement advice, of a service that takes as long as its policy says.
 */
class PlacementAdviceTest {
    private static final int RANDOM_POLICIES = 60;
    private static final ResourceAmount SMALL = new ResourceAmount(1_000, 1_000, 0);
    private static final ResourceAmount WHOLE = new ResourceAmount(4_000, 1_000, 0);
    /** Allows a step on about half of the workers. */
    private static final BiPredicate<String, String> HALF =
            (step, worker) -> Math.floorMod(new Random((step + worker).hashCode()).nextInt(), 2) == 0;

    private static final long RUN_MILLIS = 200;

    /** The jobs that are not completed. */
    private final List<String> submitted = new ArrayList<>();

    private PoolWithFakeWorkers pool;
    private FakeAdvice service;

    /**
     * Guards against accepted jobs that never start because tickets count as expired when they arrive, or because the time of a
     * request grows with the number of workers.
     */
    @ParameterizedTest
    @CsvSource({
        "500, 100, 3000, 22",
        "500, 100, 10000, 28",
        "500, 1000, 1000, 22",
        "3500, 10, 400, 22",
        "20, 1, 100, 22",
        "0, 300, 500, 40",
        "2000, 0, 200, 120"
    })
    void jobsStartWhateverTheTimesOfThePolicy(long callMillis, long perWorkerMillis, long validMillis, int workers) {
        start(workers, new AdvicePolicy(callMillis, perWorkerMillis, validMillis), HALF);
        long callsMillis = Math.max(1_000, 3 * service.policy().durationMillis(3));
        submitJobs(8, callsMillis);
        advance(callsMillis);
        assertCompleted();
    }

    /** Guards against tickets whose time counts from the request, so that they have expired when they arrive. */
    @Test
    void ticketIsValidFromItsAnswerOn() {
        start(2, new AdvicePolicy(2_000, 0, 1_000), (step, worker) -> true);
        submit("job", SMALL, 1);
        advance(4_000);
        assertCompleted();
    }

    /** Guards against policies that the listed ones do not stand for. */
    @Test
    void jobsStartUnderPoliciesDrawnAtRandom() {
        for (int seed = 1; seed <= RANDOM_POLICIES; seed++) {
            Random random = new Random(seed);
            AdvicePolicy policy =
                    new AdvicePolicy(random.nextInt(4_000), random.nextInt(600), 200 + random.nextInt(9_800));
            start(6 + random.nextInt(40), policy, HALF);
            long callsMillis = 5 * policy.durationMillis(3);
            submitJobs(4, callsMillis);
            advance(2 * callsMillis);
            assertTrue(submitted.isEmpty(), "seed " + seed + ": " + submitted + " under " + policy);
        }
    }

    /** Guards against steps that are asked about again and again while others wait, see the burst of review case 8. */
    @Test
    void burstOfJobsIsServedAtTheRateOfTheService() {
        start(8, new AdvicePolicy(120, 10, 3_000), HALF);
        submitJobs(60, 0);
        advance(16_000);
        assertCompleted();
    }

    /**
     * Guards against jobs that wait for good after a burst, see review case 8: a service that finishes requests which were given
     * up falls ever further behind if each waiting step has one there, and is asked again when it is given up.
     */
    @Test
    void jobsOfABurstCompleteThoughTheServiceFinishesRequestsThatWereGivenUp() {
        start(8, new AdvicePolicy(120, 10, 3_000), HALF);
        pool.setAdvisedObjective(2, 2_500);
        pool.giveUpAdviceAfter(3_000);
        submitAccepted("before", 32, 250);
        submitAccepted("burst", 42, 96);
        submitAccepted("after", 32, 250);
        advance(8_000);
        assertCompleted();
    }

    /** Guards against jobs that are refused though the service has time for them, which is a fifth of its time here. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void noJobIsRefusedThatTheServiceHasTimeFor(int seed) {
        Random random = new Random(seed);
        Set<String> group = new HashSet<>();
        for (int i = 1; i <= 8; i++) {
            if (random.nextInt(4) == 0) {
                group.add("w" + i);
            }
        }
        BiPredicate<String, String> byGroup = (step, worker) ->
                group.contains(worker) == (Math.floorMod(new Random(step.hashCode()).nextInt(), 2) == 0);
        start(8, new AdvicePolicy(120, 10, 3_000), group.isEmpty() ? (step, worker) -> true : byGroup);
        service.withTravelMillis(25);
        pool.setAdvisedObjective(2, 2_500);
        assertEquals(80, submitAccepted("job", 80, 250));
        advance(4_000);
        assertCompleted();
    }

    /** Guards against an answer that is lost because it comes after the request was given up. */
    @Test
    void answerToARequestThatWasGivenUpIsUsed() {
        start(4, new AdvicePolicy(500, 0, 3_000), (step, worker) -> true);
        pool.giveUpAdviceAfter(1_000);
        service.pause(pool.now().steadyMillis(), 2_000);
        submit("job", SMALL, 1);
        pool.advance(2_400);
        assertTrue(pool.workerOf(task("job", 0)).isEmpty());
        pool.advance(400);
        assertTrue(pool.workerOf(task("job", 0)).isPresent());
    }

    /** Guards against a job that is refused because of others that can wait longer, and are served after it. */
    @Test
    void jobThatCannotWaitIsAcceptedBesideOthersThatCan() {
        start(40, new AdvicePolicy(500, 10, 3_000), HALF);
        pool.setAdvisedObjective(2, 1_500);
        StepSpec patient =
                StepSpec.builder().tasks(1, SMALL).estimateMillis(20_000).build();
        for (int i = 0; i < 8; i++) {
            pool.submit("patient" + i, PoolWithFakeWorkers.ADVISED_QUEUE, patient);
        }
        StepSpec urgent = StepSpec.builder().tasks(1, SMALL).estimateMillis(100).build();
        assertTrue(pool.trySubmit("urgent", PoolWithFakeWorkers.ADVISED_QUEUE, urgent));
        pool.advance(2_500);
        assertTrue(pool.workerOf(task("urgent", 0)).isPresent());
    }

    /** Guards against a job that makes one late that was accepted before. */
    @Test
    void jobIsRefusedThatMakesAnotherOneLate() {
        start(8, new AdvicePolicy(500, 10, 3_000), HALF);
        pool.setAdvisedObjective(2, 1_500);
        int accepted = 0;
        for (int estimateMillis = 4_000; estimateMillis > 0; estimateMillis -= 100) {
            StepSpec step = StepSpec.builder()
                    .tasks(1, SMALL)
                    .estimateMillis(estimateMillis)
                    .build();
            String job = "job" + estimateMillis;
            if (pool.trySubmit(job, PoolWithFakeWorkers.ADVISED_QUEUE, step)) {
                submitted.add(job);
                accepted++;
            }
        }
        // The first job can wait for less than 7 s, and each takes the service over half a second.
        assertTrue(accepted >= 4 && accepted <= 13, accepted + " are accepted");
    }

    /** Guards against jobs that are accepted though the requests of those before them take longer than they may wait. */
    @Test
    void jobsBeyondTheRateOfTheServiceAreRefused() {
        start(40, new AdvicePolicy(1_000, 10, 3_000), HALF);
        int accepted = 0;
        for (int i = 0; i < 200; i++) {
            accepted += pool.trySubmit(
                            "job" + i,
                            PoolWithFakeWorkers.ADVISED_QUEUE,
                            step(SMALL, 1).build())
                    ? 1
                    : 0;
        }
        assertTrue(accepted >= 8 && accepted <= 24, accepted + " are accepted");
        advance(10_000);
        assertTrue(pool.trySubmit(
                "later", PoolWithFakeWorkers.ADVISED_QUEUE, step(SMALL, 1).build()));
    }

    /** Guards against requests that pile up at the service, which handles one of a machine at a time. */
    @Test
    void nextRequestIsSentWhenTheOneBeforeHasEnded() {
        start(8, new AdvicePolicy(1_000, 0, 3_000), HALF);
        submitJobs(10, 0);
        pool.advance(900);
        assertEquals(1, service.requests().size());
        pool.advance(1_000);
        assertEquals(2, service.requests().size());
    }

    /** Guards against time spent on what is known: the policy's answer about a step does not change. */
    @Test
    void workerOnWhichAStepIsNotAllowedIsNotAskedAboutAgain() {
        start(12, new AdvicePolicy(200, 100, 500), (step, worker) -> worker.equals("w12"));
        submit("job", SMALL, 1);
        advance(12_000);
        assertCompleted();
        List<String> asked = service.requests().stream()
                .flatMap(request -> request.workers().stream())
                .toList();
        assertEquals(new HashSet<>(asked).size(), asked.size(), asked.toString());
    }

    /** Guards against a request for all workers where one is known, when a ticket has expired before its use. */
    @Test
    void expiredTicketIsRenewedAlone() {
        start(10, new AdvicePolicy(200, 100, 500), (step, worker) -> !worker.equals("w2"));
        String job = "job";
        pool.submit(
                job,
                PoolWithFakeWorkers.ADVISED_QUEUE,
                step(SMALL, 1).longRunning(true).build());
        pool.advance(3_000);
        String first = pool.workerOf(task(job, 0)).orElseThrow();
        int before = service.requests().size();
        pool.lose(first);
        pool.endLostWorkers();
        pool.advance(3_000);
        assertTrue(pool.workerOf(task(job, 0)).isPresent());
        Set<String> later = new HashSet<>();
        service.requests()
                .subList(before, service.requests().size())
                .forEach(request -> later.addAll(request.workers()));
        assertFalse(later.contains(first));
    }

    /** Guards against a step of many tasks that stays on the first few workers found. */
    @Test
    void wideStepUsesAllWorkersOnWhichItIsAllowed() {
        start(12, new AdvicePolicy(200, 100, 1_000), HALF);
        String job = "job";
        pool.submit(
                job,
                PoolWithFakeWorkers.ADVISED_QUEUE,
                step(SMALL, 40).longRunning(true).build());
        pool.advance(10_000);
        for (int i = 1; i <= 12; i++) {
            if (HALF.test(job + ".0.0", "w" + i)) {
                assertEquals(4, pool.countCalls("w" + i, WorkerOrder.Start.class), "w" + i);
            }
        }
    }

    /** Guards against a gang that never starts as the tickets of its members do not live at the same time. */
    @Test
    void gangStartsThoughItsTicketsLiveForAShortTime() {
        start(16, new AdvicePolicy(300, 100, 250), (step, worker) -> Integer.parseInt(worker.substring(1)) % 4 == 0);
        StepSpec gang = step(WHOLE, 4).gang(true, false).build();
        pool.submit("gang", PoolWithFakeWorkers.ADVISED_QUEUE, gang);
        submitted.add("gang");
        advance(8_000);
        assertCompleted();
    }

    /** Guards against a reserved worker on which the step that it is kept for is not allowed. */
    @Test
    void workerIsReservedOnlyWhereTheStepIsAllowed() {
        start(2, new AdvicePolicy(20, 10, 1_000), (step, worker) -> worker.equals("w1"));
        pool.submit("small", PoolWithFakeWorkers.QUEUE, step(SMALL, 8).build());
        pool.advance(500);
        String large = "large";
        pool.submit(
                large,
                PoolWithFakeWorkers.ADVISED_QUEUE,
                step(WHOLE, 1).longRunning(true).build());
        pool.advance(1_000);
        pool.finish("small");
        for (int i = 0; i < 12; i++) {
            pool.submit("small" + i, PoolWithFakeWorkers.QUEUE, step(SMALL, 2).build());
        }
        pool.advance(1_500);
        assertEquals("w1", pool.workerOf(task(large, 0)).orElse("none"));
        assertTrue(pool.countCalls("w2", WorkerOrder.Start.class) > 4, "w2 is not kept idle");
    }

    /** Guards against a long-running task that is stopped before there is a ticket for the worker that is to take it. */
    @Test
    void evacuatedTaskIsStoppedOnceThereIsATicketElsewhere() {
        start(6, new AdvicePolicy(2_000, 100, 3_000), (step, worker) -> true);
        StepSpec spec = step(SMALL, 1).longRunning(true).build();
        pool.submit("lasting", PoolWithFakeWorkers.ADVISED_QUEUE, spec);
        pool.advance(9_000);
        String first = pool.workerOf(task("lasting", 0)).orElseThrow();
        pool.evacuate(first);
        pool.advance(1_500);
        assertEquals(first, pool.workerOf(task("lasting", 0)).orElse("none"));
        pool.advance(2_500);
        String second = pool.workerOf(task("lasting", 0)).orElseThrow();
        assertFalse(second.equals(first));
    }

    /** Guards against a job that never starts as its step is allowed only on workers that the pool has given away. */
    @Test
    void poolNeedsMoreMachinesForAStepThatIsAllowedOnNoneOfItsWorkers() {
        start(3, new AdvicePolicy(100, 10, 1_000), (step, worker) -> !step.startsWith("denied"));
        submit("allowed", SMALL, 1);
        advance(1_000);
        assertTrue(pool.scheduler().demand(pool.now()).neededMachines() < 3);
        submit("denied", SMALL, 1);
        advance(1_000);
        assertTrue(pool.scheduler().demand(pool.now()).neededMachines() > 3);
    }

    /** Guards against workers that are kept for a step though the service gives no tickets. */
    @Test
    void noWorkerIsKeptWhileTheServiceDoesNotAnswer() {
        pool = new PoolWithFakeWorkers(2, 0);
        pool.advance(1_000);
        submit("waits", SMALL, 4);
        pool.advance(2_000);
        pool.submit("small", PoolWithFakeWorkers.QUEUE, step(SMALL, 8).build());
        pool.advance(500);
        for (int i = 0; i < 8; i++) {
            assertTrue(pool.workerOf(task("small", i)).isPresent(), "task " + i);
        }
    }

    private void start(int workers, AdvicePolicy policy, BiPredicate<String, String> allows) {
        submitted.clear();
        pool = new PoolWithFakeWorkers(workers, 0);
        service = new FakeAdvice(policy, allows);
        pool.answerAdvice(service);
        pool.advance(1_000);
    }

    private void submitJobs(int count, long intervalMillis) {
        for (int i = 0; i < count; i++) {
            submit("job" + i, SMALL, 1);
            advance(intervalMillis);
        }
    }

    /** Submits jobs of two tasks each, and returns how many of them are accepted. */
    private int submitAccepted(String name, int count, long intervalMillis) {
        int accepted = 0;
        for (int i = 0; i < count; i++) {
            String job = name + i;
            StepSpec spec =
                    StepSpec.builder().tasks(2, SMALL).estimateMillis(400).build();
            if (pool.trySubmit(job, PoolWithFakeWorkers.ADVISED_QUEUE, spec)) {
                submitted.add(job);
                accepted++;
            }
            advance(intervalMillis);
        }
        return accepted;
    }

    private void submit(String job, ResourceAmount demand, int tasks) {
        pool.submit(job, PoolWithFakeWorkers.ADVISED_QUEUE, step(demand, tasks).build());
        submitted.add(job);
    }

    /** Moves the time on. The runs of the jobs end after a short time. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += RUN_MILLIS) {
            pool.advance(Math.min(RUN_MILLIS, millis - passed));
            submitted.forEach(pool::finish);
            submitted.removeIf(job -> pool.phase(job) == JobPhase.COMPLETED);
        }
    }

    private static StepSpec.Builder step(ResourceAmount demand, int tasks) {
        return StepSpec.builder().tasks(tasks, demand).estimateMillis(1_000);
    }

    private void assertCompleted() {
        assertEquals(List.of(), submitted, "not completed");
    }

    private static String task(String job, int index) {
        return job + ".0.0." + index;
    }
}
