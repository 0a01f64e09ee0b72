package org.trefoilpost.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.trefoilpost.model.worker.Worker;

/**
 * Keeps a number of calls in flight at a pool in which some workers fail at once and the others take 50 ms.
 */
final class FailingPool {
    final PoolRouter router;
    final List<Long> probes = new ArrayList<>();
    Predicate<String> failing;
    int maxEjected;
    int unroutedCalls;

    private final Map<String, Integer> calls = new HashMap<>();

    FailingPool(List<Worker> workers, long seed, Predicate<String> failing) {
        this.router = PoolRouter.of(RouterSettings.defaults(), new TwoChoicesPolicy(), new Random(seed));
        this.failing = failing;
        router.replaceWorkers(workers, 0);
    }

    void run(long fromMillis, long toMillis, int callsInFlight) {
        PriorityQueue<Call> running = new PriorityQueue<>();
        for (long now = fromMillis; now < toMillis; now += 2) {
            while (!running.isEmpty() && running.peek().endMillis <= now) {
                Call call = running.poll();
                router.attemptEnded(call.choice, call.outcome, now - call.startMillis, now);
            }
            while (running.size() < callsInFlight) {
                start(now, running);
            }
            maxEjected = Math.max(maxEjected, router.ejectedWorkers());
        }
        running.forEach(call -> router.attemptEnded(call.choice, AttemptOutcome.ABANDONED, 0, toMillis));
    }

    int calls(String worker) {
        return calls.getOrDefault(worker, 0);
    }

    int calls() {
        return calls.values().stream().mapToInt(count -> count).sum();
    }

    void clearCallCounts() {
        calls.clear();
    }

    private void start(long now, PriorityQueue<Call> running) {
        Optional<WorkerChoice> choice = router.choose(RouteRequest.of(Fleet.dataCentre(0)), now);
        if (choice.isEmpty()) {
            unroutedCalls++;
            return;
        }
        router.attemptStarted(choice.get());
        String worker = choice.get().worker().id().text();
        calls.merge(worker, 1, Integer::sum);
        if (choice.get().probe()) {
            probes.add(now);
        }
        running.add(new Call(choice.get(), now, failing.test(worker)));
    }

    /**
     * A call in flight.
     */
    private static final class Call implements Comparable<Call> {
        private final WorkerChoice choice;
        private final long startMillis;
        private final long endMillis;
        private final AttemptOutcome outcome;

        private Call(WorkerChoice choice, long startMillis, boolean fails) {
            this.choice = choice;
            this.startMillis = startMillis;
            this.endMillis = startMillis + (fails ? 2 : 50);
            this.outcome = fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
        }

        @Override
        public int compareTo(Call other) {
            return Long.compare(endMillis, other.endMillis);
        }
    }
}
