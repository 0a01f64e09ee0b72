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
 * Carries out a plan one small turn at a time, so that it can pause or die between any two of them.
 */
final class FakeExecutor {
    static final StepLimits LIMITS = StepLimits.of(
            Duration.ofSeconds(600), Duration.ofSeconds(300), Duration.ofSeconds(120), Duration.ofSeconds(120), 3);

    private static final long TICK_MILLIS = 2_000;

    private final FakeFleet fleet;
    private final PlanDigest digest;
    private final int rebootFailsOneIn;
    private final WaveStateMachine stepper = WaveStateMachine.of(LIMITS);
    private ProcessState process = new ProcessState();

    FakeExecutor(FakeFleet fleet, PlanDigest digest, int breaksOneIn) {
        this.fleet = fleet;
        this.digest = digest;
        this.rebootFailsOneIn = breaksOneIn;
    }

    /** Everything that a process loses when it dies. */
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

    void runOneTask(long now) {
        if (process.state == null) {
            load(now);
        } else if (process.pendingSave != null) {
            save(now);
        } else if (!process.queuedTasks.isEmpty()) {
            process.queuedTasks.poll().run();
        } else if (!process.queuedEvents.isEmpty()) {
            handle(process.queuedEvents.poll(), now);
        } else if (!process.ended && now >= process.nextTickMillis) {
            process.nextTickMillis = now + TICK_MILLIS;
            handle(fleet.random.nextInt(4) == 0 ? budgetEvent() : WaveTick.INSTANCE, now);
        }
    }

    private void load(long now) {
        if (!fleet.store.readFails()) {
            process.revision = fleet.store.revision("plans/" + digest);
            process.state = fleet.plan(digest);
            handle(WaveResumed.INSTANCE, now);
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

    private void handle(WaveEvent event, long now) {
        for (WaveAction action : stepper.handle(process.state, event, now)) {
            if (action instanceof SaveState save) {
                process.pendingSave = save;
            } else if (action instanceof StepAction act) {
                ProcessState mine = process;
                mine.queuedTasks.add(() -> execute(mine, act, now));
            } else {
                process.ended = true;
            }
        }
    }

    private void save(long now) {
        SaveState save = process.pendingSave;
        process.pendingSave = null;
        FakeStore.Outcome outcome =
                fleet.store.write("plans/" + digest, process.revision, WaveStateCodec.encode(save.state()));
        if (outcome == FakeStore.Outcome.APPLIED) {
            WaveState previous = process.state;
            process.state = save.state();
            process.revision = fleet.store.revision("plans/" + digest);
            fleet.events.addAll(save.events());
            handle(WaveSaved.of(previous), now);
        } else {
            process.state = null;
        }
    }

    private void reportCompleted(ProcessState mine, StepAction act, long observed) {
        mine.queuedEvents.add(PhaseCompleted.of(act.step().number(), act.attempt(), act.phase(), observed));
    }

    private void execute(ProcessState mine, StepAction act, long now) {
        PlanStep step = act.step();
        FakeWorker worker = fleet.workers.get(step.worker());
        switch (act.phase()) {
            case ADMIT:
                admit(mine, act, now);
                break;
            case CORDON:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> cordon(entry, act)));
                reportCompleted(mine, act, 0);
                break;
            case CHECKPOINT:
                reportCompleted(mine, act, 0);
                break;
            case DRAIN:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> countInFlight(mine, entry, act)));
                break;
            case STOP:
                fleet.send(() -> {
                    worker.stop(act.incarnation());
                    if (worker.stopped() || worker.incarnation() > act.incarnation()) {
                        reportCompleted(mine, act, worker.incarnation());
                    }
                });
                break;
            case REBOOT:
                fleet.send(() -> {
                    worker.reboot(
                            act.incarnation(), rebootFailsOneIn > 0 && fleet.random.nextInt(rebootFailsOneIn) == 0);
                    if (worker.live() && worker.incarnation() > act.incarnation()) {
                        reportCompleted(mine, act, worker.incarnation());
                    }
                });
                break;
            case PROBE:
                fleet.send(() -> {
                    if (worker.live()) {
                        reportCompleted(mine, act, worker.incarnation());
                    }
                });
                break;
            case SHIFT:
                shift(mine, act, worker);
                break;
            case UNCORDON:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> uncordon(mine, entry, act)));
                break;
            default:
                release(mine, act, worker);
        }
    }

    private void cordon(EntryId entry, StepAction act) {
        fleet.entries
                .get(entry)
                .cordon(digest, act.step().number(), act.attempt(), act.step().worker());
    }

    private void countInFlight(ProcessState mine, EntryId entry, StepAction act) {
        cordon(entry, act);
        FakeWorker worker = fleet.workers.get(act.step().worker());
        int acknowledged =
                fleet.entries.get(entry).acknowledgedAttempt(digest, act.step().number());
        int count = worker.inFlight(entry.text());
        String key = act.step().number() + "/" + act.attempt();
        fleet.send(() -> {
            InFlightCounts tally = mine.inFlightCounts.getOrDefault(key, InFlightCounts.of(act.attempt()));
            mine.inFlightCounts.put(key, tally.withReport(entry, acknowledged, count));
            boolean quiet = mine.inFlightCounts.get(key).drained(fleet.entries.keySet()) && worker.inFlight() == 0;
            mine.queuedEvents.add(DrainReport.of(
                    act.step().number(),
                    act.attempt(),
                    quiet,
                    worker.incarnation(),
                    headroom(act.step().pool())));
        });
    }

    private void uncordon(ProcessState mine, EntryId entry, StepAction act) {
        fleet.entries
                .get(entry)
                .uncordon(digest, act.step().number(), act.attempt(), act.step().worker());
        fleet.send(() -> {
            Set<EntryId> acknowledged = mine.uncordonedEntries.computeIfAbsent(
                    act.step().number() + "/" + act.attempt(), key -> new HashSet<>());
            acknowledged.add(entry);
            if (acknowledged.equals(fleet.entries.keySet())) {
                reportCompleted(mine, act, 0);
            }
        });
    }

    /** Reads the view and the ledger in either order, decides, and writes in a later turn. */
    private void admit(ProcessState mine, StepAction act, long now) {
        PoolName pool = act.step().pool();
        if (fleet.random.nextBoolean()) {
            InventoryView view = fleet.view();
            mine.queuedTasks.addFirst(
                    () -> decide(mine, act, now, view, fleet.ledger(pool), fleet.store.revision("ledger/" + pool)));
        } else {
            BudgetLedger ledger = fleet.ledger(pool);
            long revision = fleet.store.revision("ledger/" + pool);
            mine.queuedTasks.addFirst(() -> decide(mine, act, now, fleet.view(), ledger, revision));
        }
    }

    private void decide(
            ProcessState mine, StepAction act, long now, InventoryView view, BudgetLedger ledger, long revision) {
        PoolName pool = act.step().pool();
        LedgerDecision decision = ledger.tryAdmit(
                StepDocumentUpdates.plannedStop(digest, act.step(), act.attempt(), now),
                view.pool(pool),
                FakeFleet.BUDGETS.get(pool),
                now);
        decision.ledger()
                .ifPresent(admitted -> mine.queuedTasks.addFirst(() -> {
                    boolean written = admitted.equals(ledger)
                            || fleet.store.write("ledger/" + pool, revision, BudgetLedgerCodec.encode(admitted))
                                    == FakeStore.Outcome.APPLIED;
                    if (written) {
                        reportCompleted(mine, act, 0);
                    }
                }));
    }

    private void shift(ProcessState mine, StepAction act, FakeWorker worker) {
        String key = "inventory/" + worker.rack();
        long revision = fleet.store.revision(key);
        RackInventory present = fleet.inventory(worker.rack());
        RackInventory shifted = StepDocumentUpdates.withNewPool(act.step(), present);
        mine.queuedTasks.addFirst(() -> {
            boolean written = shifted == present
                    || fleet.store.write(key, revision, RackInventoryCodec.encode(shifted))
                            == FakeStore.Outcome.APPLIED;
            if (written) {
                reportCompleted(mine, act, shifted.version());
            }
        });
    }

    private void release(ProcessState mine, StepAction act, FakeWorker worker) {
        PoolName pool = act.step().pool();
        long revision = fleet.store.revision("ledger/" + pool);
        BudgetLedger released = StepDocumentUpdates.withoutPlannedStop(
                fleet.plan(digest).plan(), act, fleet.inventory(worker.rack()), fleet.ledger(pool));
        mine.queuedTasks.addFirst(() -> {
            if (fleet.store.write("ledger/" + pool, revision, BudgetLedgerCodec.encode(released))
                    == FakeStore.Outcome.APPLIED) {
                reportCompleted(mine, act, 0);
            }
        });
    }
}
