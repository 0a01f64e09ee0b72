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
 * Performs the actions of a plan's steps on the key-value store, the peers and the workers.
 *
 * <p>An action starts on the fleet service's thread and completes on another. It completes with an event for the plan,
 * or without one if it has to be retried at the next tick. An action that fails is retried too.
 */
final class StepExecutor {
    private final FleetContext context;
    private final FleetState state;
    private final LocalCordons localCordons;
    private final BiFunction<CordonChange, Long, CompletableFuture<Boolean>> localUncordon;

    StepExecutor(
            FleetContext context,
            FleetState state,
            LocalCordons localCordons,
            BiFunction<CordonChange, Long, CompletableFuture<Boolean>> localUncordon) {
        this.context = context;
        this.state = state;
        this.localCordons = localCordons;
        this.localUncordon = localUncordon;
    }

    /**
     * Performs an action.
     *
     * @param wave  the plan's state, not null
     * @param action  the step, attempt and phase to perform, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     * @return the resulting event, empty if the action has to be retried, not null
     */
    CompletableFuture<Optional<WaveEvent>> execute(WaveState wave, StepAction action, long nowMillis) {
        return switch (action.phase()) {
            case ADMIT -> admit(wave.plan().digest(), action, nowMillis);
            case CORDON -> cordon(wave.plan().digest(), action);
            case CHECKPOINT -> checkpoint(action);
            case DRAIN -> drain(wave.plan().digest(), action);
            case STOP -> stop(action);
            case REBOOT -> reboot(action);
            case PROBE -> probe(action);
            case SHIFT -> shift(action);
            case UNCORDON -> uncordon(wave.plan().digest(), action);
            case RELEASE -> release(wave, action);
            default -> CompletableFuture.completedFuture(Optional.empty());
        };
    }

    private CompletableFuture<Optional<WaveEvent>> admit(PlanDigest plan, StepAction action, long nowMillis) {
        PlanStep step = action.step();
        PlannedStop stop = StepDocumentUpdates.plannedStop(plan, step, action.attempt(), nowMillis);
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
            return writeLedger(step, ledger, decision.ledger().orElse(ledger.document()), completed(action, 0));
        });
    }

    private CompletableFuture<Optional<WaveEvent>> cordon(PlanDigest plan, StepAction action) {
        CordonChange cordon = CordonChange.of(
                plan, action.step().number(), action.attempt(), action.step().worker(), true);
        localCordons.apply(cordon);
        context.ports().broadcastCordon(cordon);
        return CompletableFuture.completedFuture(Optional.of(completed(action, 0)));
    }

    /** Completes once every live entry sends requests to the worker again, so that its budget can be released. */
    private CompletableFuture<Optional<WaveEvent>> uncordon(PlanDigest plan, StepAction action) {
        CordonChange cordon = CordonChange.of(
                plan, action.step().number(), action.attempt(), action.step().worker(), false);
        List<CompletableFuture<Boolean>> answers = new ArrayList<>();
        for (EntryId entry : context.ports().liveEntries()) {
            answers.add(
                    entry.equals(context.entry())
                            ? localUncordon.apply(cordon, action.incarnation())
                            : context.ports().requestUncordon(entry, cordon, action.incarnation()));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(all -> {
                    boolean everywhere = answers.stream().allMatch(CompletableFuture::join);
                    return everywhere ? Optional.of(completed(action, 0)) : Optional.empty();
                });
    }

    private CompletableFuture<Optional<WaveEvent>> checkpoint(StepAction action) {
        Optional<Worker> worker = state.worker(action.step().worker());
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
                    .thenApply(saved -> Optional.of(completed(action, status.incarnation())));
        });
    }

    private CompletableFuture<Optional<WaveEvent>> drain(PlanDigest plan, StepAction action) {
        PlanStep step = action.step();
        Optional<Worker> worker = state.worker(step.worker());
        if (worker.isEmpty()) {
            return retryLater();
        }
        CordonChange cordon = CordonChange.of(plan, step.number(), action.attempt(), step.worker(), true);
        int headroom = state.figures(step.pool()).headroom();
        Set<EntryId> entries = context.ports().possibleEntries();
        List<CompletableFuture<InFlightReport>> reports = new ArrayList<>();
        for (EntryId entry : entries) {
            reports.add(inFlightReport(entry, cordon));
        }
        return CompletableFuture.allOf(reports.toArray(CompletableFuture[]::new))
                .thenCompose(all -> context.workers().status(worker.get().endpoint()))
                .thenApply(status -> {
                    InFlightCounts inFlightCounts = InFlightCounts.of(action.attempt());
                    for (CompletableFuture<InFlightReport> report : reports) {
                        inFlightCounts = report.join().addTo(inFlightCounts);
                    }
                    boolean isDrained = inFlightCounts.drained(entries) && status.isIdle();
                    return Optional.of(
                            DrainReport.of(step.number(), action.attempt(), isDrained, status.incarnation(), headroom));
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

    private CompletableFuture<Optional<WaveEvent>> stop(StepAction action) {
        return callWorker(
                action,
                worker -> context.workers()
                        .stop(worker.endpoint(), action.incarnation())
                        .thenCompose(accepted -> context.workers().status(worker.endpoint()))
                        .thenApply(status -> {
                            boolean restarted = status.incarnation() > action.incarnation();
                            boolean stopped = status.state() == WorkerStatusReport.State.STOPPED;
                            return restarted || stopped
                                    ? Optional.of(completed(action, status.incarnation()))
                                    : Optional.empty();
                        }));
    }

    private CompletableFuture<Optional<WaveEvent>> reboot(StepAction action) {
        return callWorker(
                action,
                worker -> context.workers().status(worker.endpoint()).thenCompose(status -> {
                    boolean restarted = status.incarnation() > action.incarnation();
                    if (restarted && status.state() == WorkerStatusReport.State.LIVE) {
                        return CompletableFuture.completedFuture(Optional.of(completed(action, status.incarnation())));
                    }
                    if (status.state() != WorkerStatusReport.State.STOPPED) {
                        return retryLater();
                    }
                    return context.workers()
                            .reboot(worker.endpoint(), status.incarnation())
                            .thenApply(accepted -> Optional.empty());
                }));
    }

    private CompletableFuture<Optional<WaveEvent>> probe(StepAction action) {
        return callWorker(
                action,
                worker -> context.workers()
                        .status(worker.endpoint())
                        .thenApply(status -> status.state() == WorkerStatusReport.State.LIVE
                                        && worker.incarnation() >= status.incarnation()
                                ? Optional.of(completed(action, status.incarnation()))
                                : Optional.empty()));
    }

    private CompletableFuture<Optional<WaveEvent>> shift(StepAction action) {
        PlanStep step = action.step();
        Optional<RackName> rack = state.inventory().rackOf(step.worker());
        if (rack.isEmpty()) {
            return retryLater();
        }
        return context.store().read(FleetKeys.inventory(rack.get())).thenCompose(value -> {
            if (value.isEmpty()) {
                return retryLater();
            }
            RackInventory current = RackInventoryCodec.decode(value.get().bytes());
            RackInventory shifted = StepDocumentUpdates.withNewPool(step, current);
            if (shifted.equals(current)) {
                return CompletableFuture.completedFuture(Optional.of(completed(action, current.version())));
            }
            return context.store()
                    .write(
                            value.get().key(),
                            value.get().revision(),
                            RackInventoryCodec.encode(shifted),
                            Optional.empty())
                    .thenApply(outcome ->
                            outcome.isWritten() ? Optional.of(completed(action, shifted.version())) : Optional.empty());
        });
    }

    private CompletableFuture<Optional<WaveEvent>> release(WaveState wave, StepAction action) {
        PlanStep step = action.step();
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
                    StepDocumentUpdates.withoutPlannedStop(wave.plan(), action, inventory.get(), ledger.document());
            return writeLedger(step, ledger, released, completed(action, 0));
        });
    }

    private CompletableFuture<Optional<WaveEvent>> writeLedger(
            PlanStep step, Versioned<BudgetLedger> current, BudgetLedger next, WaveEvent event) {
        if (next.equals(current.document())) {
            return CompletableFuture.completedFuture(Optional.of(event));
        }
        return context.store()
                .write(
                        FleetKeys.ledger(step.pool()),
                        current.revision(),
                        BudgetLedgerCodec.encode(next),
                        Optional.empty())
                .thenApply(outcome -> outcome.isWritten() ? Optional.of(event) : Optional.empty());
    }

    private CompletableFuture<Optional<WaveEvent>> callWorker(StepAction action, WorkerCall workerCall) {
        Optional<Worker> worker = state.worker(action.step().worker());
        return worker.isEmpty() ? retryLater() : workerCall.on(worker.get());
    }

    private static Versioned<BudgetLedger> decodedLedger(PlanStep step, Optional<StoredValue> value) {
        return value.map(found -> Versioned.of(BudgetLedgerCodec.decode(found.bytes()), found.revision()))
                .orElseGet(() -> Versioned.of(BudgetLedger.empty(step.pool()), 0));
    }

    private static WaveEvent completed(StepAction action, long observed) {
        StepPhase phase = action.phase();
        return PhaseCompleted.of(action.step().number(), action.attempt(), phase, observed);
    }

    private static CompletableFuture<Optional<WaveEvent>> retryLater() {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    /**
     * An action on a worker.
     */
    @FunctionalInterface
    private interface WorkerCall {
        CompletableFuture<Optional<WaveEvent>> on(Worker worker);
    }

    /**
     * The count of requests in flight that one entry reported.
     */
    private static final class InFlightReport {
        private final EntryId entry;
        private final DrainCount count;

        private InFlightReport(EntryId entry, DrainCount count) {
            this.entry = entry;
            this.count = count;
        }

        private InFlightCounts addTo(InFlightCounts inFlightCounts) {
            return inFlightCounts.withReport(entry, count.acknowledgedAttempt(), count.inFlight());
        }
    }
}
