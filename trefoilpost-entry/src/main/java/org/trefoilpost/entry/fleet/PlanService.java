package org.trefoilpost.entry.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.event.FleetEventKind;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.plan.ConfirmationDecision;
import org.trefoilpost.decision.plan.Intent;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanCodec;
import org.trefoilpost.decision.plan.PlanConfirmation;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanIndex;
import org.trefoilpost.decision.plan.PlanIndexCodec;
import org.trefoilpost.decision.plan.PlanVersions;
import org.trefoilpost.decision.planner.LeastCostStrategy;
import org.trefoilpost.decision.planner.Planner;
import org.trefoilpost.decision.wave.CancelRequested;
import org.trefoilpost.decision.wave.SaveState;
import org.trefoilpost.decision.wave.StepLimits;
import org.trefoilpost.decision.wave.WaveAction;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.decision.wave.WaveStateCodec;
import org.trefoilpost.decision.wave.WaveStateMachine;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.platform.StoreException;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.entry.platform.WriteOutcome;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

/**
 * What operators do with plans: propose, confirm and cancel. Any entry serves any operator.
 */
public final class PlanService {
    private static final Duration PROPOSAL_TTL = Duration.ofHours(1);
    private static final int MAX_ATTEMPTS = 8;

    private final FleetService fleet;
    private final KeyValueStore store;
    private final MillisClock clock;
    private final Planner planner = Planner.of(LeastCostStrategy.withRequiredLoans());

    private PlanService(FleetService fleet, KeyValueStore store, MillisClock clock) {
        this.fleet = fleet;
        this.store = store;
        this.clock = clock;
    }

    /**
     * Obtains a desk.
     *
     * @param fleet  the fleet's duty, not null
     * @param store  the key-value service, not null
     * @param clock  the clock, not null
     * @return the desk, not null
     */
    public static PlanService of(FleetService fleet, KeyValueStore store, MillisClock clock) {
        return new PlanService(fleet, store, clock);
    }

    /**
     * Makes a plan for an intent, and keeps it for its confirmation.
     *
     * @param intent  the intent, not null
     * @return the plan, not null
     */
    public CompletableFuture<Plan> propose(Intent intent) {
        return computePlan(intent).thenCompose(this::saveProposal);
    }

    /**
     * Confirms a plan.
     *
     * @param digest  the plan's digest, not null
     * @param operator  the operator's name, not null
     * @return the confirmed plan, not null; fails with a {@link ProposalException} or a {@link StoreException}
     */
    public CompletableFuture<Plan> confirm(PlanDigest digest, String operator) {
        return readPlan(digest).thenCompose(plan -> confirm(plan, operator, MAX_ATTEMPTS));
    }

    /**
     * Cancels a confirmed plan: steps that have not stopped their workers are undone, the others go on to their end.
     *
     * @param digest  the plan's digest, not null
     * @param operator  the operator's name, not null
     * @return the plan's state, not null; fails with a {@link ProposalException} or a {@link StoreException}
     */
    public CompletableFuture<WaveState> cancel(PlanDigest digest, String operator) {
        return cancel(digest, operator, MAX_ATTEMPTS);
    }

    private CompletableFuture<Plan> computePlan(Intent intent) {
        long nowMillis = clock.nowMillis();
        return fleet.query(FleetState::snapshot).thenApply(snapshot -> planner.plan(intent, snapshot, nowMillis));
    }

    /**
     * Keeps a plan for its confirmation.
     *
     * @param plan  the plan, not null
     * @return the plan, not null
     */
    CompletableFuture<Plan> saveProposal(Plan plan) {
        String key = FleetKeys.proposal(plan.digest());
        return store.grantLease(PROPOSAL_TTL)
                .thenCompose(lease -> store.write(key, 0, PlanCodec.encode(plan), Optional.of(lease)))
                .thenApply(outcome -> plan);
    }

    private CompletableFuture<Plan> readPlan(PlanDigest digest) {
        return store.read(FleetKeys.proposal(digest))
                .thenCompose(value -> value.isPresent()
                        ? CompletableFuture.completedFuture(
                                PlanCodec.decode(value.get().bytes()))
                        : readConfirmedPlan(digest)
                                .thenApply(state -> state.document().plan()));
    }

    private CompletableFuture<Versioned<WaveState>> readConfirmedPlan(PlanDigest digest) {
        return store.read(FleetKeys.plan(digest))
                .thenApply(value -> value.map(
                                found -> Versioned.of(WaveStateCodec.decode(found.bytes()), found.revision()))
                        .orElseThrow(() -> ProposalException.of(
                                ProposalException.Kind.UNKNOWN_PLAN,
                                "no plan has the digest " + digest.text() + "; a proposal is kept for one hour")));
    }

    private CompletableFuture<Plan> confirm(Plan plan, String operator, int attempts) {
        return currentVersions(plan)
                .thenCompose(present -> store.read(FleetKeys.PLAN_INDEX).thenCompose(value -> {
                    PlanIndex index = value.map(found -> PlanIndexCodec.decode(found.bytes()))
                            .orElse(PlanIndex.empty());
                    long revision = value.map(StoredValue::revision).orElse(0L);
                    ConfirmationDecision decision =
                            PlanConfirmation.decide(plan, index, present, operator, clock.nowMillis());
                    return applyDecision(plan, operator, decision, revision, attempts);
                }));
    }

    private CompletableFuture<Plan> applyDecision(
            Plan plan, String operator, ConfirmationDecision decision, long indexRevision, int attempts) {
        return switch (decision.outcome()) {
            case ALREADY_CONFIRMED -> CompletableFuture.completedFuture(plan);
            case NOTHING_TO_DO ->
                CompletableFuture.failedFuture(ProposalException.of(
                        ProposalException.Kind.NOTHING_TO_DO, "the plan has no steps; nothing is to be confirmed"));
            case VOID ->
                propose(plan.intent()).thenApply(fresh -> {
                    throw ProposalException.outOfDate(describeOutdated(decision), fresh);
                });
            case CONFIRMED ->
                writeConfirmedPlan(plan, operator, decision.index().orElseThrow(), indexRevision, attempts);
        };
    }

    private CompletableFuture<Plan> writeConfirmedPlan(
            Plan plan, String operator, PlanIndex next, long indexRevision, int attempts) {
        if (attempts == 0) {
            return CompletableFuture.failedFuture(ProposalException.of(
                    ProposalException.Kind.CONTENTION, "other changes came first each time; try again"));
        }
        WaveState state = WaveState.of(plan, operator, clock.nowMillis());
        return store.write(FleetKeys.plan(plan.digest()), 0, WaveStateCodec.encode(state), Optional.empty())
                .thenCompose(written ->
                        store.write(FleetKeys.PLAN_INDEX, indexRevision, PlanIndexCodec.encode(next), Optional.empty()))
                .handle((outcome, failure) -> isWritten(outcome, failure))
                .thenCompose(written -> {
                    if (!written) {
                        return confirm(plan, operator, attempts - 1);
                    }
                    fleet.record(List.of(FleetEvent.builder(
                                    FleetEventKind.PLAN_CONFIRMED, clock.nowMillis(), "confirmed by " + operator)
                            .plan(plan.digest())
                            .build()));
                    return CompletableFuture.completedFuture(plan);
                });
    }

    private static boolean isWritten(WriteOutcome outcome, Throwable failure) {
        return failure == null && outcome.isWritten();
    }

    private CompletableFuture<PlanVersions> currentVersions(Plan plan) {
        PlanVersions planned = plan.versions();
        Map<RackName, CompletableFuture<Long>> racks = new TreeMap<>();
        planned.racks()
                .keySet()
                .forEach(rack -> racks.put(
                        rack,
                        documentVersion(
                                FleetKeys.inventory(rack),
                                bytes -> RackInventoryCodec.decode(bytes).version())));
        Map<PoolName, CompletableFuture<Long>> ledgers = new TreeMap<>();
        planned.ledgers()
                .keySet()
                .forEach(pool -> ledgers.put(
                        pool,
                        documentVersion(
                                FleetKeys.ledger(pool),
                                bytes -> BudgetLedgerCodec.decode(bytes).version())));
        CompletableFuture<Long> configuration =
                fleet.query(state -> state.configuration().version());
        CompletableFuture<?>[] all = Stream.concat(racks.values().stream(), ledgers.values().stream())
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(all)
                .thenCombine(
                        configuration,
                        (done, version) -> PlanVersions.of(version, planned.index(), joinAll(racks), joinAll(ledgers)));
    }

    private CompletableFuture<Long> documentVersion(String key, ToLongFunction<byte[]> reader) {
        return store.read(key)
                .thenApply(value ->
                        value.map(found -> reader.applyAsLong(found.bytes())).orElse(0L));
    }

    private static <K extends Comparable<? super K>> Map<K, Long> joinAll(Map<K, CompletableFuture<Long>> futures) {
        Map<K, Long> joined = new TreeMap<>();
        futures.forEach((key, value) -> joined.put(key, value.join()));
        return joined;
    }

    private static String describeOutdated(ConfirmationDecision decision) {
        String others = decision.earlierPlans().stream()
                .map(other -> "plan " + other.digest().text() + " confirmed by " + other.operator())
                .collect(Collectors.joining(", "));
        String changes = decision.changes().stream()
                .map(change -> change.document() + " changed from " + change.plannedVersion() + " to "
                        + change.currentVersion())
                .collect(Collectors.joining(", "));
        String joint = others.isEmpty() || changes.isEmpty() ? "" : "; ";
        return "the plan is out of date: " + others + joint + changes;
    }

    private CompletableFuture<WaveState> cancel(PlanDigest digest, String operator, int attempts) {
        if (attempts == 0) {
            return CompletableFuture.failedFuture(
                    ProposalException.of(ProposalException.Kind.CONTENTION, "the plan changed each time; try again"));
        }
        return readConfirmedPlan(digest).thenCompose(present -> {
            WaveState state = present.document();
            if (state.ended()) {
                return CompletableFuture.failedFuture(
                        ProposalException.of(ProposalException.Kind.ENDED, "the plan has ended"));
            }
            List<WaveAction> actions = WaveStateMachine.of(StepLimits.DEFAULT)
                    .handle(state, CancelRequested.of(operator), clock.nowMillis());
            if (actions.isEmpty() || !(actions.get(0) instanceof SaveState save)) {
                return CompletableFuture.completedFuture(state);
            }
            return store.write(
                            FleetKeys.plan(digest),
                            present.revision(),
                            WaveStateCodec.encode(save.state()),
                            Optional.empty())
                    .thenCompose(outcome -> {
                        if (!outcome.isWritten()) {
                            return cancel(digest, operator, attempts - 1);
                        }
                        fleet.record(save.events());
                        return CompletableFuture.completedFuture(save.state());
                    });
        });
    }
}
