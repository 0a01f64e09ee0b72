package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

/**
 * Starts steps that need placement advice, of a service that takes as long as its policy says.
 */
class PlacementAdviceTest {
    private static final ResourceAmount SMALL = new ResourceAmount(1_000, 1_000, 0);

    private static final long RUN_MILLIS = 200;

    /** The jobs that are not completed. */
    private final List<String> submitted = new ArrayList<>();

    private PoolWithFakeWorkers pool;
    private FakeAdvice service;

    /** Guards against tickets whose time counts from the request, so that they have expired when they arrive. */
    @Test
    void ticketIsValidFromItsAnswerOn() {
        start(2, new AdvicePolicy(2_000, 0, 1_000), (step, worker) -> true);
        submit("job", SMALL, 1);
        advance(4_000);
        assertCompleted();
    }

    private void start(int workers, AdvicePolicy policy, BiPredicate<String, String> allows) {
        submitted.clear();
        pool = new PoolWithFakeWorkers(workers, 0);
        service = new FakeAdvice(policy, allows);
        pool.answerAdvice(service);
        pool.advance(1_000);
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
}
