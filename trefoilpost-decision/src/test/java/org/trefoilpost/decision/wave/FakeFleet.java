package org.trefoilpost.decision.wave;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.inventory.WorkerHealth;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.planner.FleetSnapshot;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.worker.WorkerState;

/**
 * Workers, entries, a store and a network that loses, repeats and reorders messages.
 */
final class FakeFleet {
    static final PoolName PRICING = PoolName.of("pricing");
    static final PoolName CLEARANCE = PoolName.of("clearance");
    static final Map<PoolName, AvailabilityBudget> BUDGETS = Map.of(
            PRICING, AvailabilityBudget.of(3, FailureDomain.RACK),
            CLEARANCE, AvailabilityBudget.of(2, FailureDomain.RACK));

    private static final int RACKS = 3;

    final Random random;
    final FakeStore store;
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final Map<EntryId, CordonRegister> entries = new TreeMap<>();
    final List<FleetEvent> events = new ArrayList<>();
    final List<PlanDigest> plans = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();
    private boolean faultsEnabled;
    private Optional<RackName> failedRack = Optional.empty();

    FakeFleet(Random random) {
        this.random = random;
        this.store = new FakeStore(random);
        for (int rack = 0; rack < RACKS; rack++) {
            addRack(RackName.of("r" + rack));
        }
        for (int entry = 0; entry < 3; entry++) {
            entries.put(EntryId.of("e" + entry), new CordonRegister());
        }
    }

    private void addRack(RackName rack) {
        RackInventory inventory = RackInventory.empty(rack, DataCentreName.of("d1"), RegionName.of("coast"));
        for (PoolName pool : List.of(PRICING, CLEARANCE)) {
            for (int i = 0; i < 2; i++) {
                WorkerId worker = WorkerId.of(pool + "-" + rack + "-" + i);
                inventory = inventory.withWorker(worker).withPool(worker, pool);
                workers.put(worker, new FakeWorker(worker, rack));
            }
        }
        store.put("inventory/" + rack, RackInventoryCodec.encode(inventory));
    }

    void setFaultsEnabled(boolean newFaulty) {
        this.faultsEnabled = newFaulty;
        store.setFaultsEnabled(newFaulty);
        if (!newFaulty) {
            restoreFailedRack();
        }
    }

    RackInventory inventory(RackName rack) {
        return store.decoded("inventory/" + rack, RackInventoryCodec::decode);
    }

    BudgetLedger ledger(PoolName pool) {
        return store.revision("ledger/" + pool) == 0
                ? BudgetLedger.empty(pool)
                : store.decoded("ledger/" + pool, BudgetLedgerCodec::decode);
    }

    WaveState plan(PlanDigest digest) {
        return store.decoded("plans/" + digest, WaveStateCodec::decode);
    }

    /** Derives the view as an executor does: inventories first, then the plans, then what it sees of the workers. */
    InventoryView view() {
        List<RackInventory> inventories = new ArrayList<>();
        for (int rack = 0; rack < RACKS; rack++) {
            inventories.add(inventory(RackName.of("r" + rack)));
        }
        Set<WorkerId> unavailable = new HashSet<>();
        plans.forEach(plan -> unavailable.addAll(plan(plan).unavailableWorkers()));
        Map<WorkerId, WorkerHealth> health = new HashMap<>();
        workers.values()
                .forEach(worker -> health.put(
                        worker.id(),
                        WorkerHealth.of(WorkerState.LIVE, worker.live(), !unavailable.contains(worker.id()))));
        return InventoryView.of(inventories, health);
    }

    FleetSnapshot snapshot() {
        Map<PoolName, BudgetLedger> ledgers = new HashMap<>();
        BUDGETS.keySet().forEach(pool -> ledgers.put(pool, ledger(pool)));
        return FleetSnapshot.builder(view(), BUDGETS).ledgers(ledgers).build();
    }

    void send(Runnable message) {
        int fault = faultsEnabled ? random.nextInt(12) : 12;
        if (fault > 0) {
            network.add(message);
        }
        if (fault == 1) {
            network.add(message);
        }
    }

    /** Lets something happen outside the executors. */
    void runRandomEvent() {
        int what = random.nextInt(faultsEnabled ? 40 : 24);
        if (what < 12) {
            deliverMessage();
        } else if (what < 18) {
            dispatchRequest();
        } else if (what < 24) {
            randomElement(workers.values()).finishOneRequestPerEntry();
        } else if (what < 30) {
            store.applyDelayed();
        } else if (what == 30) {
            failRack();
        } else if (what == 31) {
            restoreFailedRack();
        } else if (what == 32) {
            restartEntry();
        }
    }

    void deliverMessage() {
        if (!network.isEmpty()) {
            network.remove(random.nextInt(network.size())).run();
        }
    }

    private void dispatchRequest() {
        FakeWorker worker = randomElement(workers.values());
        EntryId entry = randomElement(entries.keySet());
        if (worker.live() && !entries.get(entry).cordoned(worker.id()) && worker.inFlight() < 8) {
            worker.beginRequest(entry.text());
        }
    }

    private void failRack() {
        if (failedRack.isEmpty()) {
            RackName rack = RackName.of("r" + random.nextInt(RACKS));
            failedRack = Optional.of(rack);
            setRackPower(rack, false);
        }
    }

    private void restoreFailedRack() {
        failedRack.ifPresent(rack -> setRackPower(rack, true));
        failedRack = Optional.empty();
    }

    private void setRackPower(RackName rack, boolean on) {
        workers.values().stream().filter(worker -> worker.rack().equals(rack)).forEach(worker -> worker.setPower(on));
    }

    /** A new process reads the plans before it gives work to anyone. */
    private void restartEntry() {
        CordonRegister register = new CordonRegister();
        plans.forEach(plan -> register.load(plan(plan)));
        entries.put(randomElement(entries.keySet()), register);
    }

    <T> T randomElement(Collection<T> choices) {
        return List.copyOf(choices).get(random.nextInt(choices.size()));
    }

    boolean cordoned(WorkerId worker) {
        return entries.values().stream().anyMatch(register -> register.cordoned(worker));
    }

    /** Checks that each worker is in one pool and that each pool has its floor in service. */
    void checkInvariants() {
        Map<WorkerId, PoolName> poolOf = new HashMap<>();
        Map<PoolName, Integer> inService = new HashMap<>();
        for (int rack = 0; rack < RACKS; rack++) {
            inventory(RackName.of("r" + rack)).workers().forEach((worker, assignment) -> {
                PoolName pool = assignment.pool().orElseThrow(() -> new AssertionError(worker + " has no pool"));
                if (poolOf.put(worker, pool) != null) {
                    throw new AssertionError(worker + " is in two pools");
                }
                boolean serves = workers.get(worker).live() && !cordoned(worker);
                inService.merge(pool, serves ? 1 : 0, Integer::sum);
            });
        }
        if (poolOf.size() != workers.size()) {
            throw new AssertionError("workers are missing: " + poolOf.keySet());
        }
        BUDGETS.forEach((pool, budget) -> {
            if (inService.get(pool) < budget.floor()) {
                throw new AssertionError("pool " + pool + " has " + inService.get(pool) + " in service, " + budget
                        + ", failed rack " + failedRack + ", ledger " + ledger(pool) + ", workers " + workers.values());
            }
        });
    }
}
