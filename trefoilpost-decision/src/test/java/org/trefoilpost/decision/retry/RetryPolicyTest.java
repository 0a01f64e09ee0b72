package org.trefoilpost.decision.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.routing.Fleet;
import org.trefoilpost.decision.routing.RouteRequest;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.VerdictKind;
import org.trefoilpost.model.worker.Worker;

class RetryPolicyTest {
    private final RetryPolicy policy = RetryPolicy.defaults();

    @Property(seed = "71", tries = 1_000)
    void retriesOnlyRepeatableOrUnstartedRequestsAndReportsWhetherTheyMayHaveRun(
            @ForAll long seed, @ForAll boolean repeatable, @ForAll @IntRange(min = 1, max = 400) int deadlineMillis) {
        Random random = new Random(seed);
        RetryBudget budget = RetryBudget.of(0.1, random.nextInt(4));
        AttemptHistory history = AttemptHistory.empty();
        boolean mayHaveRun = false;
        long now = 0;
        for (int attempt = 1; attempt <= 4; attempt++) {
            boolean doubtful = random.nextInt(3) == 0;
            mayHaveRun |= doubtful;
            history = history.plus(failure(attempt, doubtful));
            RetryDecision decision = policy.decide(
                    RetryRequest.builder(history, deadlineMillis)
                            .repeatable(repeatable)
                            .serviceMillis(20)
                            .build(),
                    budget,
                    random,
                    now);
            if (decision.retryAtMillis().isEmpty()) {
                VerdictKind kind = decision.verdict().orElseThrow().kind();
                assertEquals(mayHaveRun ? VerdictKind.MAY_HAVE_RUN : VerdictKind.NOT_RUN, kind);
                return;
            }
            assertTrue(repeatable || !mayHaveRun, "never again after the first byte");
            long at = decision.retryAtMillis().getAsLong();
            assertTrue(at >= now && at - now <= 20L << (attempt - 1), "full jitter within the doubled bound");
            assertTrue(at + 20 <= deadlineMillis, "never past the deadline");
            now = at + 1;
        }
        throw new AssertionError("more than four attempts");
    }

    @Property(seed = "72", tries = 300)
    void avoidsEveryFailedWorkerAndARackAfterTwoFailures(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 8) int failures) {
        Random random = new Random(seed);
        AttemptHistory history = AttemptHistory.empty();
        int[] inRack = new int[4];
        boolean[] failed = new boolean[16];
        for (int i = 0; i < failures; i++) {
            int worker = random.nextInt(16);
            failed[worker] = true;
            inRack[worker / 4]++;
            history = history.plus(failure(worker, false));
        }
        RouteRequest request = history.routeRequest(Fleet.dataCentre(0));
        for (int worker = 0; worker < 16; worker++) {
            boolean allowed = !failed[worker] && inRack[worker / 4] < 2;
            assertEquals(allowed, request.allows(worker(worker)), "w" + worker);
        }
    }

    @Test
    void aRequestPastItsDeadlineTakesNothingFromTheBudget() {
        RetryBudget budget = RetryBudget.of(0.1, 1);
        AttemptHistory history = AttemptHistory.empty().plus(failure(0, false));
        Random random = new Random(1);
        RetryDecision late = policy.decide(RetryRequest.builder(history, 0).build(), budget, random, 0);
        assertEquals(
                Optional.of(RefusalReason.DEADLINE_UNREACHABLE),
                late.verdict().orElseThrow().refusal());
        assertTrue(budget.available());
        assertTrue(decide(history, budget).retryAtMillis().isPresent());
        assertEquals(
                Optional.of(RefusalReason.RETRY_BUDGET_SPENT),
                decide(history, budget).verdict().orElseThrow().refusal());
    }

    @Test
    void theDeadlineShrinksWithEachHop() {
        Deadline deadline = Deadline.after(100, 1_000);
        long left = deadline.remainingForNextHop(1_040);
        assertEquals(60 - Deadline.HOP_MARGIN_MILLIS, left);
        assertTrue(Deadline.after(left, 1_041).millis() < deadline.millis());
        assertEquals(0, deadline.remainingForNextHop(1_098));
        assertTrue(deadline.passed(1_100));
        assertFalse(Deadline.after(Long.MAX_VALUE, 1_000).passed(2_000));
    }

    private RetryDecision decide(AttemptHistory history, RetryBudget budget) {
        return policy.decide(RetryRequest.builder(history, 10_000).build(), budget, new Random(2), 0);
    }

    private static AttemptFailure failure(int worker, boolean doubtful) {
        return doubtful
                ? AttemptFailure.mayHaveRun(worker(worker), UncertaintyReason.CONNECTION_LOST)
                : AttemptFailure.notStarted(worker(worker));
    }

    private static Worker worker(int index) {
        return Fleet.workers(16, 1).get(index);
    }
}
