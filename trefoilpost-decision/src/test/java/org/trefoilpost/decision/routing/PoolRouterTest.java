package org.trefoilpost.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

class PoolRouterTest {
    private static final RouteRequest REQUEST = RouteRequest.of(Fleet.dataCentre(0));

    @Property(seed = "21", tries = 300)
    void choosesLikeAnExactScanUnderAnyEvents(@ForAll long seed, @ForAll @IntRange(min = 1, max = 24) int size) {
        Random random = new Random(seed);
        RouterModel model = new RouterModel(Fleet.workers(size, 3), random);
        for (int step = 0; step < 300; step++) {
            model.step();
        }
    }

    @Test
    void fillsEverySlotOnceAndLocalSlotsFirst() {
        PoolRouter router = router(Fleet.workers(8, 4), 3);
        Map<WorkerId, Integer> started = new HashMap<>();
        for (int i = 0; i < 64; i++) {
            WorkerChoice choice = router.choose(REQUEST, 0).orElseThrow();
            assertEquals(i >= 32, choice.spilledOver(), "local slots go first");
            router.attemptStarted(choice);
            started.merge(choice.worker().id(), 1, Integer::sum);
        }
        started.values().forEach(count -> assertEquals(Fleet.SLOTS, count));
        assertEquals(Optional.empty(), router.choose(REQUEST, 0));
    }

    @Test
    void peerCountsAreAveragedAndExpire() {
        PoolRouter router = router(Fleet.workers(1, 1), 4);
        for (int report = 0; report < 30; report++) {
            router.recordPeerInFlight(EntryId.of("e1"), WorkerId.of("w0"), report % 2 == 0 ? 7 : 3, 0);
            router.recordPeerInFlight(EntryId.of("e2"), WorkerId.of("w0"), 3, 1_000);
        }
        assertTrue(router.choose(REQUEST, 2_999).isEmpty());
        assertTrue(router.choose(REQUEST, 3_000).isPresent());
        assertEquals(3, router.peerInFlight());
        router.choose(REQUEST, 4_000);
        assertEquals(0, router.peerInFlight());
    }

    @Test
    void rejectionsLowerCapacityTemporarilyWithoutEjection() {
        PoolRouter router = router(Fleet.workers(1, 1), 5);
        long now = 0;
        for (int i = 0; i < 20; i++) {
            WorkerChoice choice = router.choose(REQUEST, now).orElseThrow();
            router.attemptStarted(choice);
            router.attemptEnded(choice, AttemptOutcome.REJECTED, 1, now);
            long holdMillis = 30L << Math.min(6, i);
            assertEquals(Optional.empty(), router.choose(REQUEST, now + holdMillis - 1));
            assertFalse(router.ejected(choice.worker().id()));
            now += holdMillis;
        }
        assertTrue(router.choose(REQUEST, now).isPresent());
        assertEquals(Fleet.SLOTS, router.usableSlots());
    }

    @Property(seed = "22", tries = 40)
    void aFastFailingWorkerGetsUnderTwoPercentOfTheCallsAfterFiveSeconds(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int callsInFlight) {
        FailingPool pool = new FailingPool(Fleet.workers(8, 1), seed, worker -> worker.equals("w3"));
        pool.run(0, 5_000, callsInFlight);
        pool.clearCallCounts();
        pool.run(5_000, 60_000, callsInFlight);
        assertTrue(pool.calls("w3") * 50 < pool.calls(), pool.calls("w3") + " of " + pool.calls());
    }

    @Property(seed = "23", tries = 40)
    void aFailingRackIsEjectedAndTheRestIsNot(@ForAll long seed) {
        FailingPool pool = new FailingPool(Fleet.workers(8, 1), seed, worker -> worker.compareTo("w4") < 0);
        pool.run(0, 20_000, 6);
        for (int i = 0; i < 8; i++) {
            assertEquals(i < 4, pool.router.ejected(WorkerId.of("w" + i)), "w" + i);
        }
    }

    @Property(seed = "24", tries = 40)
    void aPoolWideFailureEjectsNoMoreThanTheMaximumShare(@ForAll long seed) {
        FailingPool pool = new FailingPool(Fleet.workers(8, 1), seed, worker -> true);
        pool.run(0, 60_000, 4);
        assertTrue(pool.maxEjected <= 5, "at most 70 percent of 8 are ejected: " + pool.maxEjected);
        assertEquals(0, pool.unroutedCalls, "a free slot is always found");
        pool.failing = worker -> false;
        pool.run(60_000, 240_000, 4);
        assertEquals(0, pool.router.ejectedWorkers());
    }

    @Property(seed = "26", tries = 40)
    void theMaximumEjectedShareHoldsWhenMostWorkersFail(@ForAll long seed) {
        FailingPool pool = new FailingPool(Fleet.workers(8, 1), seed, worker -> worker.compareTo("w6") < 0);
        pool.run(0, 20_000, 6);
        assertEquals(5, pool.maxEjected, "70 percent of 8");
        assertFalse(pool.router.ejected(WorkerId.of("w6")) || pool.router.ejected(WorkerId.of("w7")));
    }

    @Property(seed = "27", tries = 40)
    void equalFailureRatesEjectNoWorker(@ForAll long seed) {
        Random chance = new Random(seed);
        FailingPool pool = new FailingPool(Fleet.workers(8, 1), seed, worker -> chance.nextInt(2) == 0);
        pool.run(0, 20_000, 6);
        pool.maxEjected = 0;
        pool.run(20_000, 60_000, 6);
        assertEquals(0, pool.maxEjected);
    }

    @Property(seed = "25", tries = 40)
    void probesFollowTheExponentialBackOff(@ForAll long seed) {
        FailingPool pool = new FailingPool(Fleet.workers(8, 1), seed, worker -> worker.equals("w0"));
        pool.run(0, 600_000, 2);
        long gap = 0;
        for (int i = 1; i < pool.probes.size(); i++) {
            long next = pool.probes.get(i) - pool.probes.get(i - 1);
            long backOff = Math.min(60_000, 1_000L << Math.min(i, 20));
            assertTrue(next * 2 >= backOff, "probe " + i + " after " + next + " ms");
            gap = Math.max(gap, next);
        }
        assertTrue(pool.probes.size() > 10 && gap <= 62_000, pool.probes.size() + " probes, longest gap " + gap);
    }

    @Test
    void aNewIncarnationResetsTheStateAndIgnoresLateOutcomesOfTheOldOne() {
        List<Worker> workers = Fleet.workers(2, 1);
        PoolRouter router = router(workers, 6);
        WorkerChoice old = WorkerChoice.of(workers.get(0), false, false);
        for (int i = 0; i < 6; i++) {
            router.attemptStarted(old);
        }
        for (int i = 0; i < 3; i++) {
            router.attemptEnded(old, AttemptOutcome.FAILED, 1, 10);
        }
        assertTrue(router.ejected(old.worker().id()));
        router.replaceWorkers(List.of(Fleet.restarted(workers.get(0), 2), workers.get(1)), 20);
        assertFalse(router.ejected(old.worker().id()));
        for (int i = 0; i < 3; i++) {
            router.attemptEnded(old, AttemptOutcome.FAILED, 1, 30);
        }
        assertFalse(router.ejected(old.worker().id()));
        assertEquals(0, router.ownInFlight());
        router.replaceWorkers(workers, 40);
        WorkerChoice choice =
                router.choose(REQUEST.withoutWorker(WorkerId.of("w1")), 40).orElseThrow();
        assertEquals(2, choice.worker().incarnation(), "an older listing changes nothing");
    }

    @Test
    void aLeavingWorkerIsNeitherChosenNorProbed() {
        List<Worker> workers = Fleet.workers(2, 1);
        PoolRouter router = router(workers, 7);
        router.mergeLeaving(LeavingRegister.empty().withWorkerSignal(WorkerId.of("w0"), 1));
        for (int i = 0; i < Fleet.SLOTS; i++) {
            WorkerChoice choice = router.choose(REQUEST, 0).orElseThrow();
            assertEquals("w1", choice.worker().id().text());
            router.attemptStarted(choice);
        }
        assertEquals(Optional.empty(), router.choose(REQUEST, 0));
        router.replaceWorkers(workers, 1);
        assertEquals(Optional.empty(), router.choose(REQUEST, 1), "the list still shows it as live");
        router.replaceWorkers(List.of(Fleet.restarted(workers.get(0), 2), workers.get(1)), 2);
        assertTrue(router.choose(REQUEST, 2).isPresent());
    }

    @Test
    void aChoiceInspectsTheSameNumberOfWorkersInPoolsOfAnySize() {
        assertEquals(inspectionsPerChoice(40), inspectionsPerChoice(25_000));
        assertTrue(inspectionsPerChoice(40) <= 2, "looks at two workers");
    }

    private static int inspectionsPerChoice(int size) {
        int[] looks = new int[1];
        SelectionPolicy counting = (candidates, request, random) -> {
            CandidateView view = new CountingView(candidates, looks);
            return new TwoChoicesPolicy().select(view, request, random);
        };
        PoolRouter router = PoolRouter.of(RouterSettings.defaults(), counting, new Random(1));
        router.replaceWorkers(Fleet.workers(size, 1), 0);
        for (int i = 0; i < 100; i++) {
            router.attemptStarted(router.choose(REQUEST, 0).orElseThrow());
        }
        return (looks[0] + 99) / 100;
    }

    private static PoolRouter router(List<Worker> workers, long seed) {
        RandomGenerator random = new Random(seed);
        PoolRouter router = PoolRouter.of(RouterSettings.defaults(), new TwoChoicesPolicy(), random);
        router.replaceWorkers(new ArrayList<>(workers), 0);
        return router;
    }
}
