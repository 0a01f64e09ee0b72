package org.trefoilpost.decision.wave;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.ledger.LedgerDecision;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;

/**
 * Executes a plan in small tasks, so that a test can pause or crash it between any two of them.
 */
final class FakeExecutor {
    static final StepLimits LIMITS = StepLimits.of(
            Duration.ofSeconds(600), Duration.ofSeconds(300), Duration.ofSeconds(120), Duration.ofSeconds(120), 3);

    private static final long TICK_MILLIS = 2_000;

    private final FakeFleet fleet;
    private final PlanDigest digest;
    private final int rebootFailsOneIn;
    private final WaveStateMachine stateMachine = WaveStateMachine.of(LIMITS);
    private ProcessState process = new ProcessState();

    FakeExecutor(FakeFleet fleet, PlanDigest digest, int rebootFailsOneIn) {
        this.fleet = fleet;
        this.digest = digest;
        this.rebootFailsOneIn = rebootFailsOneIn;
    }

    /** The in-memory state that a crash discards. */
    private static final class ProcessState {
        private WaveState state;
        private long revision;
        private SaveState pendingSave;
        private boolean ended;
        private long nextTickMillis;
        private final Deque<Runnable> queuedTasks = new ArrayDeque<>();
        private final Deque<WaveEvent> queuedEvents = new ArrayDeque<>();
        private final Map<String, InFlightCounts> inFlightCounts = new HashMap<>();
        private final Map<String, Set<EntryId>> uncordonedEntries = new HashMap<>();
    }

    void crash() {
        process = new ProcessState();
    }

    boolean ended() {
        return process.ended;
    }

    void cancel() {
        process.queuedEvents.add(CancelRequested.of("operator"));
    }

    void runOneTask(long nowMillis) {
        if (process.state == null) {
            load(nowMillis);
        } else if (process.pendingSave != null) {
            save(nowMillis);
        } else if (!process.queuedTasks.isEmpty()) {
            process.queuedTasks.poll().run();
        } else if (!process.queuedEvents.isEmpty()) {
            handle(process.queuedEvents.poll(), nowMillis);
        } else if (!process.ended && nowMillis >= process.nextTickMillis) {
            process.nextTickMillis = nowMillis + TICK_MILLIS;
            handle(fleet.random.nextInt(4) == 0 ? budgetEvent() : WaveTick.INSTANCE, nowMillis);
        }
    }

    private void load(long nowMillis) {
        if (!fleet.store.readFails()) {
            process.revision = fleet.store.revision("plans/" + digest);
            process.state = fleet.plan(digest);
            handle(WaveResumed.INSTANCE, nowMillis);
        }
    }

    private WaveEvent budgetEvent() {
        PoolName pool = fleet.randomElement(FakeFleet.BUDGETS.keySet());
        int headroom = headroom(pool);
        return headroom < 0 ? BudgetExceeded.of(pool, -headroom) : WaveTick.INSTANCE;
    }

    private int headroom(PoolName pool) {
        return fleet.ledger(pool)
                .figures(fleet.view().pool(pool), FakeFleet.BUDGETS.get(pool))
                .headroom();
    }

    private void handle(WaveEvent event, long nowMillis) {
        for (WaveAction action : stateMachine.handle(process.state, event, nowMillis)) {
            if (action instanceof SaveState save) {
                process.pendingSave = save;
            } else if (action instanceof StepAction stepAction) {
                ProcessState owner = process;
                owner.queuedTasks.add(() -> execute(owner, stepAction, nowMillis));
            } else {
                process.ended = true;
            }
        }
    }

    private void save(long nowMillis) {
        SaveState save = process.pendingSave;
        process.pendingSave = null;
        FakeStore.Outcome outcome =
                fleet.store.write("plans/" + digest, process.revision, WaveStateCodec.encode(save.state()));
        if (outcome == FakeStore.Outcome.APPLIED) {
            WaveState previous = process.state;
            process.state = save.state();
            process.revision = fleet.store.revision("plans/" + digest);
            fleet.events.addAll(save.events());
            handle(WaveSaved.of(previous), nowMillis);
        } else {
            process.state = null;
        }
    }

    private void reportCompleted(ProcessState owner, StepAction action, long observed) {
        owner.queuedEvents.add(PhaseCompleted.of(action.step().number(), action.attempt(), action.phase(), observed));
    }

    private void execute(ProcessState owner, StepAction action, long nowMillis) {
        PlanStep step = action.step();
        FakeWorker worker = fleet.workers.get(step.worker());
        switch (action.phase()) {
            case ADMIT:
                admit(owner, action, nowMillis);
                break;
            case CORDON:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> cordon(entry, action)));
                reportCompleted(owner, action, 0);
                break;
            case CHECKPOINT:
                reportCompleted(owner, action, 0);
                break;
            case DRAIN:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> countInFlight(owner, entry, action)));
                break;
            case STOP:
                fleet.send(() -> {
                    worker.stop(action.incarnation());
                    if (worker.stopped() || worker.incarnation() > action.incarnation()) {
                        reportCompleted(owner, action, worker.incarnation());
                    }
                });
                break;
            case REBOOT:
                fleet.send(() -> {
                    worker.reboot(
                            action.incarnation(), rebootFailsOneIn > 0 && fleet.random.nextInt(rebootFailsOneIn) == 0);
                    if (worker.live() && worker.incarnation() > action.incarnation()) {
                        reportCompleted(owner, action, worker.incarnation());
                    }
                });
                break;
            case PROBE:
                fleet.send(() -> {
                    if (worker.live()) {
                        reportCompleted(owner, action, worker.incarnation());
                    }
                });
                break;
            case SHIFT:
                shift(owner, action, worker);
                break;
            case UNCORDON:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> uncordon(owner, entry, action)));
                break;
            default:
                release(owner, action, worker);
        }
    }

    private void cordon(EntryId entry, StepAction action) {
        fleet.entries
                .get(entry)
                .cordon(
                        digest,
                        action.step().number(),
                        action.attempt(),
                        action.step().worker());
    }

    private void countInFlight(ProcessState owner, EntryId entry, StepAction action) {
        cordon(entry, action);
        FakeWorker worker = fleet.workers.get(action.step().worker());
        int acknowledged = fleet.entries
                .get(entry)
                .acknowledgedAttempt(digest, action.step().number());
        int count = worker.inFlight(entry.text());
        String key = action.step().number() + "/" + action.attempt();
        fleet.send(() -> {
            InFlightCounts counts = owner.inFlightCounts.getOrDefault(key, InFlightCounts.of(action.attempt()));
            owner.inFlightCounts.put(key, counts.withReport(entry, acknowledged, count));
            boolean drained = owner.inFlightCounts.get(key).drained(fleet.entries.keySet()) && worker.inFlight() == 0;
            owner.queuedEvents.add(DrainReport.of(
                    action.step().number(),
                    action.attempt(),
                    drained,
                    worker.incarnation(),
                    headroom(action.step().pool())));
        });
    }

    private void uncordon(ProcessState owner, EntryId entry, StepAction action) {
        fleet.entries
                .get(entry)
                .uncordon(
                        digest,
                        action.step().number(),
                        action.attempt(),
                        action.step().worker());
        fleet.send(() -> {
            Set<EntryId> acknowledged = owner.uncordonedEntries.computeIfAbsent(
                    action.step().number() + "/" + action.attempt(), key -> new HashSet<>());
            acknowledged.add(entry);
            if (acknowledged.equals(fleet.entries.keySet())) {
                reportCompleted(owner, action, 0);
            }
        });
    }

    /** Reads the view and the ledger in random order, decides, and writes in a later task. */
    private void admit(ProcessState owner, StepAction action, long nowMillis) {
        PoolName pool = action.step().pool();
        if (fleet.random.nextBoolean()) {
            InventoryView view = fleet.view();
            owner.queuedTasks.addFirst(() ->
                    decide(owner, action, nowMillis, view, fleet.ledger(pool), fleet.store.revision("ledger/" + pool)));
        } else {
            BudgetLedger ledger = fleet.ledger(pool);
            long revision = fleet.store.revision("ledger/" + pool);
            owner.queuedTasks.addFirst(() -> decide(owner, action, nowMillis, fleet.view(), ledger, revision));
        }
    }

    private void decide(
            ProcessState owner,
            StepAction action,
            long nowMillis,
            InventoryView view,
            BudgetLedger ledger,
            long revision) {
        PoolName pool = action.step().pool();
        LedgerDecision decision = ledger.tryAdmit(
                StepDocumentUpdates.plannedStop(digest, action.step(), action.attempt(), nowMillis),
                view.pool(pool),
                FakeFleet.BUDGETS.get(pool),
                nowMillis);
        decision.ledger()
                .ifPresent(admitted -> owner.queuedTasks.addFirst(() -> {
                    boolean written = admitted.equals(ledger)
                            || fleet.store.write("ledger/" + pool, revision, BudgetLedgerCodec.encode(admitted))
                                    == FakeStore.Outcome.APPLIED;
                    if (written) {
                        reportCompleted(owner, action, 0);
                    }
                }));
    }

    private void shift(ProcessState owner, StepAction action, FakeWorker worker) {
        String key = "inventory/" + worker.rack();
        long revision = fleet.store.revision(key);
        RackInventory present = fleet.inventory(worker.rack());
        RackInventory shifted = StepDocumentUpdates.withNewPool(action.step(), present);
        owner.queuedTasks.addFirst(() -> {
            boolean written = shifted == present
                    || fleet.store.write(key, revision, RackInventoryCodec.encode(shifted))
                            == FakeStore.Outcome.APPLIED;
            if (written) {
                reportCompleted(owner, action, shifted.version());
            }
        });
    }

    private void release(ProcessState owner, StepAction action, FakeWorker worker) {
        PoolName pool = action.step().pool();
        long revision = fleet.store.revision("ledger/" + pool);
        BudgetLedger released = StepDocumentUpdates.withoutPlannedStop(
                fleet.plan(digest).plan(), action, fleet.inventory(worker.rack()), fleet.ledger(pool));
        owner.queuedTasks.addFirst(() -> {
            if (fleet.store.write("ledger/" + pool, revision, BudgetLedgerCodec.encode(released))
                    == FakeStore.Outcome.APPLIED) {
                reportCompleted(owner, action, 0);
            }
        });
    }
}
