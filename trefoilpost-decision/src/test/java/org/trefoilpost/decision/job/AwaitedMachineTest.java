package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

/**
 * Guards against pools that give away the machines on which a step waits to be allowed, though they have more than they need.
 * A machine that comes back has a new worker, of which advice is requested anew.
 */
class AwaitedMachineTest {
    private static final int SEEDS = 200;
    private static final int MACHINES = 8;
    private static final long RUN_MILLIS = 200;
    private static final AdvicePolicy SLOW = new AdvicePolicy(3_500, 50, 10_000);

    private PoolWithMachines site;
    private FakeAdvice service;

    @Test
    void jobsStartThoughACallTakesLongerThanASurplusIsKept() {
        List<String> late = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            start(seed);
            site.advance(20L * random.nextInt(500));
            submit("first");
            submit("second");
            advance(40_000);
            if (!isCompleted("first") || !isCompleted("second")) {
                late.add("seed " + seed + ", moves: " + site.moves());
            }
        }
        assertEquals(List.of(), late);
    }

    /** Guards against machines that are kept for steps that have started. */
    @Test
    void machinesAreAwaitedUntilTheStepsHaveStarted() {
        start(1);
        submit("first");
        submit("second");
        site.advance(1_000);
        assertEquals(1, service.requests().size());
        Set<String> awaited = demand().awaitedWorkers();
        assertTrue(awaited.containsAll(service.requests().get(0).workers()), awaited.toString());
        advance(40_000);
        assertTrue(isCompleted("first") && isCompleted("second"));
        assertEquals(Set.of(), demand().awaitedWorkers());
    }

    private void start(long seed) {
        site = new PoolWithMachines(MACHINES);
        service = new FakeAdvice(
                SLOW, (step, worker) -> new SplittableRandom((seed + step + worker).hashCode()).nextBoolean());
        site.pool().answerAdvice(service);
        site.advance(200);
    }

    private PoolDemand demand() {
        return site.pool().scheduler().demand(site.pool().now());
    }

    private void submit(String job) {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(500, 128, 0))
                .estimateMillis(RUN_MILLIS)
                .build();
        assertTrue(site.pool().trySubmit(job, PoolWithFakeWorkers.ADVISED_QUEUE, step), job);
    }

    private boolean isCompleted(String job) {
        return site.pool().phase(job) == JobPhase.COMPLETED;
    }

    /** Moves the time on. The runs of the jobs end after a short time. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += RUN_MILLIS) {
            site.advance(RUN_MILLIS);
            site.pool().finish("first");
            site.pool().finish("second");
        }
    }
}
