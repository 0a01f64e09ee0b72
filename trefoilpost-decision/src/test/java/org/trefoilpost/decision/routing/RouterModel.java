package org.trefoilpost.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

/**
 * Drives a router with random events and compares it to plain maps that are scanned in whole.
 */
final class RouterModel {
    private static final int PEERS = 3;

    private final Random random;
    private final PoolRouter router;
    private final Map<WorkerId, Worker> listed = new HashMap<>();
    private final Map<WorkerId, Integer> ownInFlight = new HashMap<>();
    private final Map<String, long[]> peerReports = new HashMap<>();
    private final Map<WorkerId, Integer> consecutiveRejections = new HashMap<>();
    private final Map<WorkerId, Double> margins = new HashMap<>();
    private final Map<WorkerId, long[]> slotLimits = new HashMap<>();
    private final List<WorkerChoice> inFlight = new ArrayList<>();
    private LeavingRegister leaving = LeavingRegister.empty();
    private long now;

    RouterModel(List<Worker> workers, Random random) {
        this.random = random;
        this.router = PoolRouter.of(RouterSettings.defaults(), new TwoChoicesPolicy(), new Random(random.nextLong()));
        workers.forEach(worker -> listed.put(worker.id(), worker));
        router.replaceWorkers(workers, 0);
    }

    void step() {
        now += random.nextInt(60);
        int kind = random.nextInt(20);
        if (kind < 9) {
            chooseAndCompare();
        } else if (kind < 15) {
            finish();
        } else if (kind < 18) {
            peerReport();
        } else if (kind < 19) {
            sendLeavingSignal();
        } else {
            restart();
        }
    }

    private void chooseAndCompare() {
        RouteRequest request = RouteRequest.of(Fleet.dataCentre(random.nextInt(4)));
        if (random.nextInt(4) == 0) {
            request = request.withoutWorker(anyWorker().id())
                    .withoutRack(anyWorker().rack());
        }
        Optional<WorkerChoice> choice = router.choose(request, now);
        boolean local = false;
        boolean some = false;
        for (Worker worker : listed.values()) {
            boolean candidate = request.allows(worker) && hasFreeSlot(worker, true) && !router.ejected(worker.id());
            some |= candidate;
            local |= candidate && worker.dataCentre().equals(request.ownDataCentre());
        }
        assertSums();
        if (choice.isEmpty()) {
            assertTrue(!some, "a free worker was not found");
            return;
        }
        Worker chosen = choice.get().worker();
        boolean probe = choice.get().probe();
        assertTrue(request.allows(chosen) && hasFreeSlot(chosen, !probe), chosen + " is no candidate");
        assertEquals(choice.get().probe(), router.ejected(chosen.id()), "only probes go to ejected workers");
        if (!choice.get().probe()) {
            assertEquals(local, chosen.dataCentre().equals(request.ownDataCentre()), "local workers go first");
        }
        router.attemptStarted(choice.get());
        ownInFlight.merge(chosen.id(), 1, Integer::sum);
        inFlight.add(choice.get());
    }

    private void finish() {
        if (inFlight.isEmpty()) {
            return;
        }
        WorkerChoice choice = inFlight.remove(random.nextInt(inFlight.size()));
        WorkerId id = choice.worker().id();
        AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(4)];
        ownInFlight.merge(id, -1, Integer::sum);
        router.attemptEnded(choice, outcome, 10, now);
        boolean current = listed.get(id).incarnation() == choice.worker().incarnation();
        if (outcome == AttemptOutcome.REJECTED && current) {
            int inRow = consecutiveRejections.merge(id, 1, Integer::sum);
            margins.put(id, Math.min(3, margin(id) + 0.2));
            slotLimits.put(id, new long[] {
                ownInFlight.get(id) + Math.round(peerInFlight(id)), now + (30L << Math.min(6, inRow - 1))
            });
        } else if (outcome == AttemptOutcome.ANSWERED && current) {
            consecutiveRejections.remove(id);
            margins.put(id, Math.max(0, margin(id) - 0.2 * 0.03));
        }
    }

    private void peerReport() {
        WorkerId id = anyWorker().id();
        int peer = random.nextInt(PEERS);
        int count = random.nextInt(5);
        router.recordPeerInFlight(EntryId.of("e" + peer), id, count, now);
        long before = peerUnits(id, peer);
        long mean = before + Math.round(0.3 * (count * 1_024 - before));
        peerReports.put(id + " " + peer, new long[] {count == 0 && mean < 20 ? 0 : mean, now});
    }

    private void sendLeavingSignal() {
        Worker worker = anyWorker();
        LeavingRegister signal = random.nextBoolean()
                ? LeavingRegister.empty().withWorkerSignal(worker.id(), worker.incarnation() - random.nextInt(2))
                : LeavingRegister.empty().withCordon(worker.id(), random.nextInt(20), random.nextBoolean());
        leaving = leaving.merge(signal);
        router.mergeLeaving(signal);
    }

    private void restart() {
        Worker worker = anyWorker();
        Worker next = Fleet.restarted(worker, worker.incarnation() + 1);
        listed.put(worker.id(), next);
        slotLimits.remove(worker.id());
        consecutiveRejections.remove(worker.id());
        margins.remove(worker.id());
        for (int peer = 0; peer < PEERS; peer++) {
            peerReports.remove(worker.id() + " " + peer);
        }
        router.replaceWorkers(listed.values(), now);
    }

    private void assertSums() {
        int slots = 0;
        int ownSum = 0;
        int peerSum = 0;
        for (Worker worker : listed.values()) {
            boolean takesWork = !leaving.leaving(worker) && !router.ejected(worker.id());
            slots += takesWork ? slots(worker.id()) : 0;
            peerSum += takesWork ? (int) Math.round(peerInFlight(worker.id())) : 0;
            ownSum += ownInFlight.getOrDefault(worker.id(), 0);
        }
        assertEquals(slots, router.usableSlots());
        assertEquals(peerSum, router.peerInFlight());
        assertEquals(ownSum, router.ownInFlight());
    }

    /** Returns whether a worker has a free slot; a probe may use the margin. */
    private boolean hasFreeSlot(Worker worker, boolean withMargin) {
        WorkerId id = worker.id();
        double margin = withMargin ? margin(id) : 0;
        long used = ownInFlight.getOrDefault(id, 0) + Math.round(peerInFlight(id) + margin);
        return !leaving.leaving(worker) && used < slots(id);
    }

    private int slots(WorkerId id) {
        long[] hold = slotLimits.get(id);
        return hold != null && now < hold[1] ? (int) Math.min(Fleet.SLOTS, hold[0]) : Fleet.SLOTS;
    }

    private double margin(WorkerId id) {
        return margins.getOrDefault(id, 0.0);
    }

    private double peerInFlight(WorkerId id) {
        long sum = 0;
        for (int peer = 0; peer < PEERS; peer++) {
            sum += peerUnits(id, peer);
        }
        return sum / 1_024.0;
    }

    private long peerUnits(WorkerId id, int peer) {
        long[] report = peerReports.getOrDefault(id + " " + peer, new long[] {0, Long.MIN_VALUE / 2});
        return now - report[1] < 3_000 ? report[0] : 0;
    }

    private Worker anyWorker() {
        return listed.get(WorkerId.of("w" + random.nextInt(listed.size())));
    }
}
