package org.trefoilpost.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.admission.AdmissionQueue;
import org.trefoilpost.decision.admission.AdmissionSettings;
import org.trefoilpost.decision.admission.TeamQuotas;
import org.trefoilpost.decision.retry.RetryBudget;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.decision.routing.RouterSettings;
import org.trefoilpost.decision.routing.TwoChoicesPolicy;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;
import org.trefoilpost.model.verdict.VerdictKind;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;

class PoolDispatcherTest {
    private static final PoolName POOL = PoolName.of("pricing");
    private static final DataCentreName OWN_DATA_CENTRE = DataCentreName.of("dc-1");
    private static final int SLOTS = 2;
    /** A time at which all limits and back-offs that began before 1 s have ended. */
    private static final long LATER_MILLIS = 100_000;

    private static final int REJECTIONS_IN_A_ROW = 20;

    private final Map<Long, Verdict> verdicts = new HashMap<>();
    private final Map<Long, StartAttempt> inFlight = new HashMap<>();
    private final Set<Long> cancelled = new HashSet<>();
    private final Set<Long> mayHaveRun = new HashSet<>();
    private final Set<Long> repeatable = new HashSet<>();
    private final Map<Long, Integer> possibleRuns = new HashMap<>();

    @Test
    void refusesARequestImmediatelyWhenThePoolHasNoWorkers() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 0);
        apply(dispatcher.submit(request(1, false, 1_000), 0));
        assertEquals(RefusalReason.NO_WORKER, verdicts.get(1L).refusal().orElseThrow());
        assertTrue(verdicts.get(1L).retryAfter().isPresent());
    }

    @Test
    void retriesAtAnotherWorkerAfterARejection() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 4);
        apply(dispatcher.submit(request(1, false, 10_000), 0));
        WorkerId first = inFlight.get(1L).worker().id();
        end(dispatcher, 1, AttemptResult.notStarted(), 1);
        apply(dispatcher.tick(200));
        assertFalse(first.equals(inFlight.get(1L).worker().id()));
        end(dispatcher, 1, AttemptResult.answered(), 210);
        assertEquals(VerdictKind.ANSWERED, verdicts.get(1L).kind());
    }

    @Test
    void poolThatRejectedEverythingTakesRequestsAgainWhenTheLimitsEnd() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 2);
        rejectAtEveryWorker(dispatcher);
        apply(dispatcher.submit(request(10, false, LATER_MILLIS + 1_000), LATER_MILLIS));
        assertTrue(inFlight.containsKey(10L), () -> "refused with " + verdicts.get(10L));
    }

    @Test
    void requestQueuedBeforeEverythingWasRejectedStartsWhenTheLimitsEnd() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 1);
        for (long id = 1; id <= SLOTS + 1; id++) {
            apply(dispatcher.submit(request(id, false, LATER_MILLIS), 0));
        }
        end(dispatcher, 1, AttemptResult.notStarted(), 1);
        end(dispatcher, 2, AttemptResult.notStarted(), 1);
        assertFalse(inFlight.containsKey(3L));
        long nextMillis = dispatcher.nextTickMillis().orElseThrow();
        while (nextMillis < LATER_MILLIS && !inFlight.containsKey(3L)) {
            apply(dispatcher.tick(nextMillis));
            nextMillis = dispatcher.nextTickMillis().orElse(LATER_MILLIS);
        }
        assertTrue(inFlight.containsKey(3L), () -> "ended with " + verdicts.get(3L));
    }

    /** Guards against a safety margin for the attempts of peers that leaves no slot to the attempts that would narrow it. */
    @Test
    void poolThatRejectedManyRequestsInARowTakesRequestsAgain() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 1);
        long nowMillis = 0;
        for (long id = 1; id <= REJECTIONS_IN_A_ROW; id++) {
            nowMillis += LATER_MILLIS;
            apply(dispatcher.submit(request(id, false, nowMillis + 500), nowMillis));
            if (inFlight.containsKey(id)) {
                end(dispatcher, id, AttemptResult.notStarted(), nowMillis + 1);
            }
            apply(dispatcher.tick(nowMillis + 500));
            assertEquals(0, dispatcher.pendingRequests());
        }
        nowMillis += LATER_MILLIS;
        apply(dispatcher.submit(request(1_000, false, nowMillis + 500), nowMillis));
        assertTrue(inFlight.containsKey(1_000L), "a request that is not started at an idle worker");
    }

    @Test
    void ejectedWorkerIsProbedWhenNoOtherWorkerTakesRequests() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 4);
        ejectOneWorker(dispatcher);
        LeavingRegister leaving = LeavingRegister.empty();
        for (int i = 0; i < 4; i++) {
            WorkerId worker = WorkerId.of("w-" + i);
            leaving = dispatcher.router().ejected(worker) ? leaving : leaving.withCordon(worker, 1, true);
        }
        dispatcher.mergeLeaving(leaving);
        apply(dispatcher.submit(request(1_000, false, LATER_MILLIS + 1_000), LATER_MILLIS));
        assertTrue(inFlight.containsKey(1_000L), () -> "refused with " + verdicts.get(1_000L));
        apply(dispatcher.submit(request(1_001, false, LATER_MILLIS + 1_000), LATER_MILLIS));
        assertEquals(RefusalReason.NO_WORKER, verdicts.get(1_001L).refusal().orElseThrow());
        end(dispatcher, 1_000, AttemptResult.answered(), LATER_MILLIS + 5);
        apply(dispatcher.submit(request(1_002, false, LATER_MILLIS + 1_000), LATER_MILLIS + 5));
        assertTrue(inFlight.containsKey(1_002L), () -> "refused with " + verdicts.get(1_002L));
    }

    @Test
    void neverRetriesAnUnrepeatableRequestThatMayHaveRun() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 4);
        apply(dispatcher.submit(request(1, false, 10_000), 0));
        end(dispatcher, 1, AttemptResult.mayHaveRun(UncertaintyReason.CONNECTION_LOST), 5);
        assertEquals(
                UncertaintyReason.CONNECTION_LOST,
                verdicts.get(1L).uncertainty().orElseThrow());
        apply(dispatcher.tick(5_000));
        assertNull(inFlight.get(1L));
    }

    @Test
    void reportsThatASentRequestMayHaveRunWhenItsDeadlinePasses() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 4);
        apply(dispatcher.submit(request(1, true, 500), 0));
        apply(dispatcher.tick(500));
        assertEquals(
                UncertaintyReason.DEADLINE_PASSED,
                verdicts.get(1L).uncertainty().orElseThrow());
    }

    @Test
    void endsEveryPendingRequestAtAStop() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 1);
        for (long id = 1; id <= SLOTS + 1; id++) {
            apply(dispatcher.submit(request(id, true, 10_000), 0));
        }
        end(dispatcher, 1, AttemptResult.notStarted(), 1);
        apply(dispatcher.endPending(1));
        assertEquals(SLOTS + 1, verdicts.size());
        assertEquals(
                UncertaintyReason.CONNECTION_LOST,
                verdicts.get(2L).uncertainty().orElseThrow());
        assertEquals(RefusalReason.SHUTTING_DOWN, verdicts.get(1L).refusal().orElseThrow());
        assertEquals(0, dispatcher.pendingRequests());
    }

    @Test
    void ignoresALateResultOfAnEarlierAttempt() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 4);
        apply(dispatcher.submit(request(1, true, 10_000), 0));
        end(dispatcher, 1, AttemptResult.notStarted(), 1);
        apply(dispatcher.tick(200));
        apply(dispatcher.attemptEnded(1, 1, AttemptResult.answered(), 201));
        assertNull(verdicts.get(1L));
    }

    @Test
    void startsNoAttemptAtALeavingWorker() {
        PoolDispatcher dispatcher = dispatcher(new Random(1), 2);
        dispatcher.mergeLeaving(LeavingRegister.empty().withCordon(WorkerId.of("w-0"), 1, true));
        for (long id = 1; id <= SLOTS; id++) {
            apply(dispatcher.submit(request(id, true, 10_000), 0));
            assertEquals("w-1", inFlight.get(id).worker().id().text());
        }
    }

    @Property(tries = 300, seed = "21")
    void givesEachRequestOneVerdictThatMatchesItsAttempts(@ForAll long seed) {
        verdicts.clear();
        inFlight.clear();
        cancelled.clear();
        mayHaveRun.clear();
        repeatable.clear();
        possibleRuns.clear();
        Random random = new Random(seed);
        PoolDispatcher dispatcher = dispatcher(random, 4);
        long nowMillis = 0;
        long requests = 0;
        for (int step = 0; step < 200; step++) {
            nowMillis += random.nextInt(30);
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    requests++;
                    boolean mayRepeat = random.nextBoolean();
                    if (mayRepeat) {
                        repeatable.add(requests);
                    }
                    apply(dispatcher.submit(request(requests, mayRepeat, nowMillis + random.nextInt(400)), nowMillis));
                }
                case 2 -> endOne(dispatcher, random, nowMillis);
                case 3 -> cancelOne(dispatcher, random, requests, nowMillis);
                default -> apply(dispatcher.tick(nowMillis));
            }
            assertTrue(inFlight.size() <= 4 * SLOTS);
        }
        apply(dispatcher.tick(nowMillis + 1_000));
        assertEquals(0, dispatcher.pendingRequests());
        for (long id = 1; id <= requests; id++) {
            assertEquals(!cancelled.contains(id), verdicts.containsKey(id), "request " + id);
        }
        verdicts.forEach((id, verdict) -> {
            if (mayHaveRun.contains(id)) {
                assertTrue(verdict.kind() != VerdictKind.NOT_RUN, () -> "request " + id + " " + verdict);
            }
        });
        possibleRuns.forEach((id, runs) -> assertTrue(runs <= 1 || repeatable.contains(id)));
    }

    /** Submits a request for each slot of two workers and rejects all of them; they end with their deadline. */
    private void rejectAtEveryWorker(PoolDispatcher dispatcher) {
        for (long id = 1; id <= 2 * SLOTS; id++) {
            apply(dispatcher.submit(request(id, false, 500), 0));
        }
        for (long id = 1; id <= 2 * SLOTS; id++) {
            end(dispatcher, id, AttemptResult.notStarted(), 490);
        }
        apply(dispatcher.tick(500));
        assertEquals(0, dispatcher.router().usableSlots());
        assertEquals(0, dispatcher.pendingRequests());
    }

    /** Fails the requests that reach worker w-0 until it is ejected. */
    private void ejectOneWorker(PoolDispatcher dispatcher) {
        for (long id = 1; dispatcher.router().ejectedWorkers() == 0; id++) {
            apply(dispatcher.submit(request(id, false, LATER_MILLIS), id));
            boolean failing = inFlight.get(id).worker().id().equals(WorkerId.of("w-0"));
            end(dispatcher, id, failing ? AttemptResult.serverError() : AttemptResult.answered(), id);
        }
    }

    private void endOne(PoolDispatcher dispatcher, Random random, long nowMillis) {
        if (inFlight.isEmpty()) {
            return;
        }
        List<Long> ids = new ArrayList<>(inFlight.keySet());
        long id = ids.get(random.nextInt(ids.size()));
        AttemptResult result = List.of(
                        AttemptResult.answered(),
                        AttemptResult.serverError(),
                        AttemptResult.notStarted(),
                        AttemptResult.notSent(),
                        AttemptResult.notConnected(),
                        AttemptResult.mayHaveRun(UncertaintyReason.CONNECTION_LOST))
                .get(random.nextInt(6));
        if (result.uncertainty().isPresent()) {
            mayHaveRun.add(id);
        }
        if (result.uncertainty().isPresent() || result.kind() == AttemptResult.Kind.ANSWERED) {
            possibleRuns.merge(id, 1, Integer::sum);
        }
        end(dispatcher, id, result, nowMillis);
    }

    private void cancelOne(PoolDispatcher dispatcher, Random random, long requests, long nowMillis) {
        long id = 1 + random.nextInt((int) requests + 1);
        if (id <= requests && !verdicts.containsKey(id)) {
            cancelled.add(id);
            apply(dispatcher.cancel(id, nowMillis));
            inFlight.remove(id);
        }
    }

    private void end(PoolDispatcher dispatcher, long id, AttemptResult result, long nowMillis) {
        StartAttempt attempt = inFlight.remove(id);
        apply(dispatcher.attemptEnded(id, attempt.attempt(), result, nowMillis));
    }

    private void apply(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            long id = action.requestId();
            if (action instanceof StartAttempt start) {
                assertFalse(
                        verdicts.containsKey(id) || cancelled.contains(id),
                        "an attempt started after the end of request " + id);
                inFlight.put(id, start);
            } else if (action instanceof AbandonAttempt) {
                inFlight.remove(id);
                mayHaveRun.add(id);
            } else if (action instanceof DeliverVerdict conclusion) {
                assertNull(verdicts.put(id, conclusion.verdict()), "a second verdict for request " + id);
                assertFalse(cancelled.contains(id));
            }
        }
    }

    private static DispatchRequest request(long id, boolean mayRepeat, long deadlineMillis) {
        return DispatchRequest.builder(id, POOL, deadlineMillis)
                .repeatable(mayRepeat)
                .requestClass(RequestClass.NORMAL)
                .build();
    }

    private static PoolDispatcher dispatcher(Random random, int workers) {
        AdmissionSettings limits = AdmissionSettings.builder()
                .maxQueued(6)
                .initialServiceMillis(10)
                .build();
        PoolDispatcher dispatcher = PoolDispatcher.builder()
                .ownDataCentre(OWN_DATA_CENTRE)
                .router(PoolRouter.of(RouterSettings.defaults(), new TwoChoicesPolicy(), random))
                .admission(AdmissionQueue.of(limits, TeamQuotas.of(1_000), random))
                .retryBudget(RetryBudget.of(0.5, 5))
                .random(random)
                .build();
        List<Worker> members = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            members.add(Worker.builder(WorkerId.of("w-" + i))
                    .rack(RackName.of("r-" + i / 2))
                    .dataCentre(OWN_DATA_CENTRE)
                    .region(RegionName.of("region"))
                    .endpoint(Endpoint.of("127.0.0.1", 1_000 + i))
                    .resources(Resources.of(32, 1_024, 0, SLOTS))
                    .maxConnections(64)
                    .build());
        }
        dispatcher.replaceWorkers(members, 0);
        return dispatcher;
    }
}
