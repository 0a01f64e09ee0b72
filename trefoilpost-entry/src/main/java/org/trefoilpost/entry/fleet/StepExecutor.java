package org.trefoilpost.entry.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.trefoilpost.decision.inventory.PoolView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.ledger.LedgerDecision;
import org.trefoilpost.decision.ledger.PlannedStop;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.wave.DrainReport;
import org.trefoilpost.decision.wave.InFlightCounts;
import org.trefoilpost.decision.wave.PhaseCompleted;
import org.trefoilpost.decision.wave.StepAction;
import org.trefoilpost.decision.wave.StepDocumentUpdates;
import org.trefoilpost.decision.wave.StepPhase;
import org.trefoilpost.decision.wave.WaveEvent;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.entry.peer.CordonChange;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.entry.target.TaskStatusReport;
import org.trefoilpost.entry.target.WorkerStatusReport;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.worker.Worker;

/**
 * Carries out the acts of a plan's steps against the store, the peers and the workers.
 *
 * <p>An act is called on the duty's thread and ends on another. It ends with an event for the plan, or without one if it
 * is to be tried again at the next tick. A failed future means the same.
 */
final class StepExecutor {
    private final FleetContext context;
    private final FleetState state;
    private final LocalCordons localCordons;
    private final BiFunction<CordonChange, Long, CompletableFuture<Boolean>> localUncordon;

    StepExecutor(
            FleetContext context,
            FleetState state,
            LocalCordons cordons,
            BiFunction<CordonChange, Long, CompletableFuture<Boolean>> ownUncordon) {
        this.context = context;
        this.state = state;
        this.localCordons = cordons;
        this.localUncordon = ownUncordon;
    }

    /**
     * Carries out an act.
     *
     * @param wave  the plan's state, not null
     * @param act  the act, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the event that follows, empty if the act is to be tried again, not null
     */
    CompletableFuture<Optional<WaveEvent>> execute(WaveState wave, StepAction act, long nowMillis) {
        return switch (act.phase()) {
            case ADMIT -> admit(wave.plan().digest(), act, nowMillis);
            case CORDON -> cordon(wave.plan().digest(), act);
            case CHECKPOINT -> checkpoint(act);
            case DRAIN -> drain(wave.plan().digest(), act);
            case STOP -> stop(act);
            case REBOOT -> reboot(act);
            case PROBE -> probe(act);
            case SHIFT -> shift(act);
            case UNCORDON -> uncordon(wave.plan().digest(), act);
            case RELEASE -> release(wave, act);
            default -> CompletableFuture.completedFuture(Optional.empty());
        };
    }

    private CompletableFuture<Optional<WaveEvent>> admit(PlanDigest plan, StepAction act, long nowMillis) {
        PlanStep step = act.step();
        PlannedStop stop = StepDocumentUpdates.plannedStop(plan, step, act.attempt(), nowMillis);
        PoolView view = state.inventory().pool(step.pool());
        AvailabilityBudget budget = state.budget(step.pool());
        return context.store().read(FleetKeys.ledger(step.pool())).thenCompose(value -> {
            Versioned<BudgetLedger> ledger = decodedLedger(step, value);
            LedgerDecision decision = ledger.document().tryAdmit(stop, view, budget, nowMillis);
            if (!decision.admitted()) {
                String reason = decision.refusal().orElseThrow().code();
                context.metrics().count("trefoilpost.ledger.refusals", reason);
                return retryLater();
            }
            return writeLedger(step, ledger, decision.ledger().orElse(ledger.document()), completed(act, 0));
        });
    }

    private CompletableFuture<Optional<WaveEvent>> cordon(PlanDigest plan, StepAction act) {
        CordonChange cordon = CordonChange.of(
                plan, act.step().number(), act.attempt(), act.step().worker(), true);
        localCordons.apply(cordon);
        context.ports().broadcastCordon(cordon);
        return CompletableFuture.completedFuture(Optional.of(completed(act, 0)));
    }

    /** Ends once every live entry gives the worker work again, so that the budget is freed for the next worker. */
    private CompletableFuture<Optional<WaveEvent>> uncordon(PlanDigest plan, StepAction act) {
        CordonChange cordon = CordonChange.of(
                plan, act.step().number(), act.attempt(), act.step().worker(), false);
        List<CompletableFuture<Boolean>> answers = new ArrayList<>();
        for (EntryId entry : context.ports().liveEntries()) {
            answers.add(
                    entry.equals(context.entry())
                            ? localUncordon.apply(cordon, act.incarnation())
                            : context.ports().requestUncordon(entry, cordon, act.incarnation()));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(all -> {
                    boolean everywhere = answers.stream().allMatch(CompletableFuture::join);
                    return everywhere ? Optional.of(completed(act, 0)) : Optional.empty();
                });
    }

    private CompletableFuture<Optional<WaveEvent>> checkpoint(StepAction act) {
        Optional<Worker> worker = state.worker(act.step().worker());
        if (worker.isEmpty()) {
            return retryLater();
        }
        return context.workers().status(worker.get().endpoint()).thenCompose(status -> {
            List<CompletableFuture<String>> saves = new ArrayList<>();
            for (TaskStatusReport task : status.tasks()) {
                if (task.isRunning()) {
                    saves.add(context.workers().checkpoint(worker.get().endpoint(), task.job(), task.epoch()));
                }
            }
            return CompletableFuture.allOf(saves.toArray(CompletableFuture[]::new))
                    .thenApply(saved -> Optional.of(completed(act, status.incarnation())));
        });
    }

    private CompletableFuture<Optional<WaveEvent>> drain(PlanDigest plan, StepAction act) {
        PlanStep step = act.step();
        Optional<Worker> worker = state.worker(step.worker());
        if (worker.isEmpty()) {
            return retryLater();
        }
        CordonChange cordon = CordonChange.of(plan, step.number(), act.attempt(), step.worker(), true);
        int headroom = state.figures(step.pool()).headroom();
        Set<EntryId> entries = context.ports().possibleEntries();
        List<CompletableFuture<InFlightReport>> reports = new ArrayList<>();
        for (EntryId entry : entries) {
            reports.add(inFlightReport(entry, cordon));
        }
        return CompletableFuture.allOf(reports.toArray(CompletableFuture[]::new))
                .thenCompose(all -> context.workers().status(worker.get().endpoint()))
                .thenApply(status -> {
                    InFlightCounts tally = InFlightCounts.of(act.attempt());
                    for (CompletableFuture<InFlightReport> report : reports) {
                        tally = report.join().addTo(tally);
                    }
                    boolean quiet = tally.drained(entries) && status.isIdle();
                    return Optional.of(
                            DrainReport.of(step.number(), act.attempt(), quiet, status.incarnation(), headroom));
                });
    }

    private CompletableFuture<InFlightReport> inFlightReport(EntryId entry, CordonChange cordon) {
        if (entry.equals(context.entry())) {
            int acknowledged = localCordons.acknowledgedAttempt(cordon.plan(), cordon.step());
            return context.ports()
                    .inFlight()
                    .thenApply(counts -> new InFlightReport(
                            entry, DrainCount.of(acknowledged, counts.getOrDefault(cordon.worker(), 0))));
        }
        return context.ports()
                .queryDrainCount(entry, cordon)
                .handle((count, failure) -> new InFlightReport(entry, failure == null ? count : DrainCount.of(0, 0)));
    }

    private CompletableFuture<Optional<WaveEvent>> stop(StepAction act) {
        return callWorker(
                act,
                worker -> context.workers()
                        .stop(worker.endpoint(), act.incarnation())
                        .thenCompose(accepted -> context.workers().status(worker.endpoint()))
                        .thenApply(status -> {
                            boolean restarted = status.incarnation() > act.incarnation();
                            boolean stopped = status.state() == WorkerStatusReport.State.STOPPED;
                            return restarted || stopped
                                    ? Optional.of(completed(act, status.incarnation()))
                                    : Optional.empty();
                        }));
    }

    private CompletableFuture<Optional<WaveEvent>> reboot(StepAction act) {
        return callWorker(
                act,
                worker -> context.workers().status(worker.endpoint()).thenCompose(status -> {
                    boolean restarted = status.incarnation() > act.incarnation();
                    if (restarted && status.state() == WorkerStatusReport.State.LIVE) {
                        return CompletableFuture.completedFuture(Optional.of(completed(act, status.incarnation())));
                    }
                    if (status.state() != WorkerStatusReport.State.STOPPED) {
                        return retryLater();
                    }
                    return context.workers()
                            .reboot(worker.endpoint(), status.incarnation())
                            .thenApply(accepted -> Optional.empty());
                }));
    }

    private CompletableFuture<Optional<WaveEvent>> probe(StepAction act) {
        return callWorker(
                act,
                worker -> context.workers()
                        .status(worker.endpoint())
                        .thenApply(status -> status.state() == WorkerStatusReport.State.LIVE
                                        && worker.incarnation() >= status.incarnation()
                                ? Optional.of(completed(act, status.incarnation()))
                                : Optional.empty()));
    }

    private CompletableFuture<Optional<WaveEvent>> shift(StepAction act) {
        PlanStep step = act.step();
        Optional<RackName> rack = state.inventory().rackOf(step.worker());
        if (rack.isEmpty()) {
            return retryLater();
        }
        return context.store().read(FleetKeys.inventory(rack.get())).thenCompose(value -> {
            if (value.isEmpty()) {
                return retryLater();
            }
            RackInventory present = RackInventoryCodec.decode(value.get().bytes());
            RackInventory shifted = StepDocumentUpdates.withNewPool(step, present);
            if (shifted.equals(present)) {
                return CompletableFuture.completedFuture(Optional.of(completed(act, present.version())));
            }
            return context.store()
                    .write(
                            value.get().key(),
                            value.get().revision(),
                            RackInventoryCodec.encode(shifted),
                            Optional.empty())
                    .thenApply(outcome ->
                            outcome.isWritten() ? Optional.of(completed(act, shifted.version())) : Optional.empty());
        });
    }

    private CompletableFuture<Optional<WaveEvent>> release(WaveState wave, StepAction act) {
        PlanStep step = act.step();
        Optional<RackInventory> inventory = state.inventory()
                .rackOf(step.worker())
                .flatMap(rack -> state.documents().inventory(rack))
                .map(Versioned::document);
        if (inventory.isEmpty()) {
            return retryLater();
        }
        return context.store().read(FleetKeys.ledger(step.pool())).thenCompose(value -> {
            Versioned<BudgetLedger> ledger = decodedLedger(step, value);
            BudgetLedger released =
                    StepDocumentUpdates.withoutPlannedStop(wave.plan(), act, inventory.get(), ledger.document());
            return writeLedger(step, ledger, released, completed(act, 0));
        });
    }

    private CompletableFuture<Optional<WaveEvent>> writeLedger(
            PlanStep step, Versioned<BudgetLedger> present, BudgetLedger next, WaveEvent event) {
        if (next.equals(present.document())) {
            return CompletableFuture.completedFuture(Optional.of(event));
        }
        return context.store()
                .write(
                        FleetKeys.ledger(step.pool()),
                        present.revision(),
                        BudgetLedgerCodec.encode(next),
                        Optional.empty())
                .thenApply(outcome -> outcome.isWritten() ? Optional.of(event) : Optional.empty());
    }

    private CompletableFuture<Optional<WaveEvent>> callWorker(StepAction act, WorkerCall call) {
        Optional<Worker> worker = state.worker(act.step().worker());
        return worker.isEmpty() ? retryLater() : call.on(worker.get());
    }

    private static Versioned<BudgetLedger> decodedLedger(PlanStep step, Optional<StoredValue> value) {
        return value.map(found -> Versioned.of(BudgetLedgerCodec.decode(found.bytes()), found.revision()))
                .orElseGet(() -> Versioned.of(BudgetLedger.empty(step.pool()), 0));
    }

    private static WaveEvent completed(StepAction act, long observed) {
        StepPhase phase = act.phase();
        return PhaseCompleted.of(act.step().number(), act.attempt(), phase, observed);
    }

    private static CompletableFuture<Optional<WaveEvent>> retryLater() {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    /**
     * A call on a worker.
     */
    @FunctionalInterface
    private interface WorkerCall {
        CompletableFuture<Optional<WaveEvent>> on(Worker worker);
    }

    /**
     * What one entry reported.
     */
    private static final class InFlightReport {
        private final EntryId entry;
        private final DrainCount count;

        private InFlightReport(EntryId entry, DrainCount count) {
            this.entry = entry;
            this.count = count;
        }

        private InFlightCounts addTo(InFlightCounts tally) {
            return tally.withReport(entry, count.acknowledgedAttempt(), count.inFlight());
        }
    }
}
