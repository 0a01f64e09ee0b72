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
    static final WaveLimits LIMITS = WaveLimits.of(
            Duration.ofSeconds(600), Duration.ofSeconds(300), Duration.ofSeconds(120), Duration.ofSeconds(120), 3);

    private static final long TICK_MILLIS = 2_000;

    private final FakeFleet fleet;
    private final PlanDigest digest;
    private final int breaksOneIn;
    private final WaveStepper stepper = WaveStepper.of(LIMITS);
    private Memory memory = new Memory();

    FakeExecutor(FakeFleet fleet, PlanDigest digest, int breaksOneIn) {
        this.fleet = fleet;
        this.digest = digest;
        this.breaksOneIn = breaksOneIn;
    }

    /** Everything that a process loses when it dies. */
    private static final class Memory {
        private WaveState state;
        private long revision;
        private SaveState pending;
        private boolean ended;
        private long nextTick;
        private final Deque<Runnable> todo = new ArrayDeque<>();
        private final Deque<WaveEvent> events = new ArrayDeque<>();
        private final Map<String, InFlightTally> tallies = new HashMap<>();
        private final Map<String, Set<EntryId>> uncordoned = new HashMap<>();
    }

    void die() {
        memory = new Memory();
    }

    boolean ended() {
        return memory.ended;
    }

    void cancel() {
        memory.events.add(CancelRequested.of("operator"));
    }

    void turn(long now) {
        if (memory.state == null) {
            load(now);
        } else if (memory.pending != null) {
            save(now);
        } else if (!memory.todo.isEmpty()) {
            memory.todo.poll().run();
        } else if (!memory.events.isEmpty()) {
            handle(memory.events.poll(), now);
        } else if (!memory.ended && now >= memory.nextTick) {
            memory.nextTick = now + TICK_MILLIS;
            handle(fleet.random.nextInt(4) == 0 ? budgetEvent() : WaveTick.INSTANCE, now);
        }
    }

    private void load(long now) {
        if (!fleet.store.fails()) {
            memory.revision = fleet.store.revision("plans/" + digest);
            memory.state = fleet.plan(digest);
            handle(WaveResumed.INSTANCE, now);
        }
    }

    private WaveEvent budgetEvent() {
        PoolName pool = fleet.pick(FakeFleet.BUDGETS.keySet());
        int headroom = headroom(pool);
        return headroom < 0 ? BudgetExceeded.of(pool, -headroom) : WaveTick.INSTANCE;
    }

    private int headroom(PoolName pool) {
        return fleet.ledger(pool)
                .figures(fleet.view().pool(pool), FakeFleet.BUDGETS.get(pool))
                .headroom();
    }

    private void handle(WaveEvent event, long now) {
        for (WaveAction action : stepper.step(memory.state, event, now)) {
            if (action instanceof SaveState save) {
                memory.pending = save;
            } else if (action instanceof StepAct act) {
                Memory mine = memory;
                mine.todo.add(() -> act(mine, act, now));
            } else {
                memory.ended = true;
            }
        }
    }

    private void save(long now) {
        SaveState save = memory.pending;
        memory.pending = null;
        FakeStore.Outcome outcome =
                fleet.store.write("plans/" + digest, memory.revision, WaveStateCodec.encode(save.state()));
        if (outcome == FakeStore.Outcome.APPLIED) {
            WaveState previous = memory.state;
            memory.state = save.state();
            memory.revision = fleet.store.revision("plans/" + digest);
            fleet.events.addAll(save.events());
            handle(WaveSaved.of(previous), now);
        } else {
            memory.state = null;
        }
    }

    private void done(Memory mine, StepAct act, long observed) {
        mine.events.add(StepCompleted.of(act.step().number(), act.attempt(), act.phase(), observed));
    }

    private void act(Memory mine, StepAct act, long now) {
        PlanStep step = act.step();
        FakeWorker worker = fleet.workers.get(step.worker());
        switch (act.phase()) {
            case ADMIT:
                admit(mine, act, now);
                break;
            case CORDON:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> cordon(entry, act)));
                done(mine, act, 0);
                break;
            case CHECKPOINT:
                done(mine, act, 0);
                break;
            case DRAIN:
                fleet.entries.keySet().forEach(entry -> fleet.send(() -> count(mine, entry, act)));
                break;
            case STOP:
                fleet.send(() -> {
                    worker.stop(act.incarnation());
                    if (worker.stopped() || worker.incarnation() > act.incarnation()) {
                        done(mine, act, worker.incarnation());
                    }
                });
                break;
            case REBOOT:
                fleet.send(() -> {
                    worker.reboot(act.incarnation(), breaksOneIn > 0 && fleet.random.nextInt(breaksOneIn) == 0);
                    if (worker.live() && worker.incarnation() > act.incarnation()) {
                        done(mine, act, worker.incarnation());
                    }
                });
                break;
            case PROBE:
                fleet.send(() -> {
                    if (worker.live()) {
                        done(mine, act, worker.incarnation());
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

    private void cordon(EntryId entry, StepAct act) {
        fleet.entries
                .get(entry)
                .cordon(digest, act.step().number(), act.attempt(), act.step().worker());
    }

    private void count(Memory mine, EntryId entry, StepAct act) {
        cordon(entry, act);
        FakeWorker worker = fleet.workers.get(act.step().worker());
        int acknowledged =
                fleet.entries.get(entry).acknowledged(digest, act.step().number());
        int count = worker.inFlight(entry.text());
        String key = act.step().number() + "/" + act.attempt();
        fleet.send(() -> {
            InFlightTally tally = mine.tallies.getOrDefault(key, InFlightTally.of(act.attempt()));
            mine.tallies.put(key, tally.withReport(entry, acknowledged, count));
            boolean quiet = mine.tallies.get(key).quiet(fleet.entries.keySet()) && worker.inFlight() == 0;
            mine.events.add(DrainReport.of(
                    act.step().number(),
                    act.attempt(),
                    quiet,
                    worker.incarnation(),
                    headroom(act.step().pool())));
        });
    }

    private void uncordon(Memory mine, EntryId entry, StepAct act) {
        fleet.entries
                .get(entry)
                .uncordon(digest, act.step().number(), act.attempt(), act.step().worker());
        fleet.send(() -> {
            Set<EntryId> acknowledged =
                    mine.uncordoned.computeIfAbsent(act.step().number() + "/" + act.attempt(), key -> new HashSet<>());
            acknowledged.add(entry);
            if (acknowledged.equals(fleet.entries.keySet())) {
                done(mine, act, 0);
            }
        });
    }

    /** Reads the view and the ledger in either order, decides, and writes in a later turn. */
    private void admit(Memory mine, StepAct act, long now) {
        PoolName pool = act.step().pool();
        if (fleet.random.nextBoolean()) {
            InventoryView view = fleet.view();
            mine.todo.addFirst(
                    () -> decide(mine, act, now, view, fleet.ledger(pool), fleet.store.revision("ledger/" + pool)));
        } else {
            BudgetLedger ledger = fleet.ledger(pool);
            long revision = fleet.store.revision("ledger/" + pool);
            mine.todo.addFirst(() -> decide(mine, act, now, fleet.view(), ledger, revision));
        }
    }

    private void decide(Memory mine, StepAct act, long now, InventoryView view, BudgetLedger ledger, long revision) {
        PoolName pool = act.step().pool();
        LedgerDecision decision = ledger.tryAdmit(
                StepDocuments.plannedStop(digest, act.step(), act.attempt(), now),
                view.pool(pool),
                FakeFleet.BUDGETS.get(pool),
                now);
        decision.ledger()
                .ifPresent(admitted -> mine.todo.addFirst(() -> {
                    boolean written = admitted.equals(ledger)
                            || fleet.store.write("ledger/" + pool, revision, BudgetLedgerCodec.encode(admitted))
                                    == FakeStore.Outcome.APPLIED;
                    if (written) {
                        done(mine, act, 0);
                    }
                }));
    }

    private void shift(Memory mine, StepAct act, FakeWorker worker) {
        String key = "inventory/" + worker.rack();
        long revision = fleet.store.revision(key);
        RackInventory present = fleet.inventory(worker.rack());
        RackInventory shifted = StepDocuments.shift(act.step(), present);
        mine.todo.addFirst(() -> {
            boolean written = shifted == present
                    || fleet.store.write(key, revision, RackInventoryCodec.encode(shifted))
                            == FakeStore.Outcome.APPLIED;
            if (written) {
                done(mine, act, shifted.version());
            }
        });
    }

    private void release(Memory mine, StepAct act, FakeWorker worker) {
        PoolName pool = act.step().pool();
        long revision = fleet.store.revision("ledger/" + pool);
        BudgetLedger released = StepDocuments.release(
                fleet.plan(digest).plan(), act, fleet.inventory(worker.rack()), fleet.ledger(pool));
        mine.todo.addFirst(() -> {
            if (fleet.store.write("ledger/" + pool, revision, BudgetLedgerCodec.encode(released))
                    == FakeStore.Outcome.APPLIED) {
                done(mine, act, 0);
            }
        });
    }
}
