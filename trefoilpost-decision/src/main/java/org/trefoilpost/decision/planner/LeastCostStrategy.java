package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

/**
 * Maintains each pool in as few batches as its budget allows, all pools concurrently.
 *
 * <p>Workers are borrowed where a pool can't be maintained otherwise and, if so configured, where a loan lowers the
 * weighted cost. Loans are added one by one, each time the one that gives the best variant of the wave.
 */
public final class LeastCostStrategy implements WaveStrategy {
    /** The most loans of one plan. */
    public static final int MAX_LOANS = 8;

    private final boolean loansToReduceCost;

    private LeastCostStrategy(boolean loansForCost) {
        this.loansToReduceCost = loansForCost;
    }

    /**
     * Returns the strategy that borrows only where a pool can't be maintained otherwise.
     *
     * @return the strategy, not null
     */
    public static LeastCostStrategy withRequiredLoans() {
        return new LeastCostStrategy(false);
    }

    /**
     * Returns the strategy that also borrows where it lowers the weighted cost.
     *
     * @return the strategy, not null
     */
    public static LeastCostStrategy withCostReducingLoans() {
        return new LeastCostStrategy(true);
    }

    @Override
    public String name() {
        return loansToReduceCost ? "least cost, loans for cost" : "least cost";
    }

    @Override
    public WaveDraft draft(FleetSnapshot snapshot, Set<PoolName> pools) {
        Variant withoutLoans = variant(snapshot, pools, List.of());
        Variant best = withoutLoans;
        boolean improved = loansToReduceCost || withoutLoans.deficit > 0;
        while (improved && best.loans.size() < MAX_LOANS) {
            Variant candidate = bestWithOneMoreLoan(snapshot, pools, best);
            improved = candidate != best;
            best = candidate;
        }
        boolean loansHelp =
                best.maintained > withoutLoans.maintained || best.betterThan(withoutLoans, snapshot.weights());
        return loansHelp ? best.draft : withoutLoans.draft;
    }

    private Variant bestWithOneMoreLoan(FleetSnapshot snapshot, Set<PoolName> pools, Variant current) {
        Variant best = current;
        for (DraftLoan loan : candidateLoans(snapshot, pools, current)) {
            List<DraftLoan> loans = new ArrayList<>(current.loans);
            loans.add(loan);
            Variant candidate = variant(snapshot, pools, loans);
            if (candidate.betterThan(best, snapshot.weights())) {
                best = candidate;
            }
        }
        return best;
    }

    private List<DraftLoan> candidateLoans(FleetSnapshot snapshot, Set<PoolName> pools, Variant current) {
        FleetDraft draft = draftWithLoans(snapshot, pools, current.loans, new HashSet<>());
        List<DraftLoan> candidates = new ArrayList<>();
        List<DraftPool> borrowers = pools.stream()
                .map(draft::pool)
                .filter(pool -> loansToReduceCost || deficit(pool) > 0)
                .sorted(Comparator.comparingInt(LeastCostStrategy::deficit)
                        .reversed()
                        .thenComparing(DraftPool::headroom))
                .limit(MAX_LOANS)
                .toList();
        borrowers.forEach(pool -> candidates.addAll(LoanCandidates.of(draft, pool)));
        return candidates;
    }

    /**
     * Returns a draft whose first batch makes the loans and, concurrently, maintains some workers of each pool.
     * Workers that it maintains are taken out of the remaining ones.
     */
    private static FleetDraft draftWithLoans(
            FleetSnapshot snapshot, Set<PoolName> pools, List<DraftLoan> loans, Set<WorkerId> remaining) {
        Set<PoolName> poolNames = new HashSet<>(snapshot.inventory().pools().keySet());
        poolNames.addAll(pools);
        FleetDraft draft = new FleetDraft(snapshot, poolNames);
        for (DraftLoan loan : loans) {
            draft.member(loan.worker())
                    .ifPresent(member -> draft.tryShift(StepKind.LOAN, member, draft.pool(loan.borrower())));
        }
        for (DraftPool pool : draft.pools()) {
            List<List<DraftMember>> partition =
                    PoolPartition.of(pool, member -> draft.selectable(member) && remaining.contains(member.worker()));
            partition.stream()
                    .max(Comparator.comparingInt(List::size))
                    .ifPresent(batch -> addMaintenance(draft, batch, remaining));
        }
        draft.endBatch();
        return draft;
    }

    private static void addMaintenance(FleetDraft draft, List<DraftMember> batch, Set<WorkerId> remaining) {
        for (DraftMember member : batch) {
            if (draft.tryStop(StepKind.MAINTAIN, member)) {
                remaining.remove(member.worker());
            }
        }
    }

    /** Returns how many workers a pool lacks for the stop of any one member, 0 if it lacks none. */
    private static int deficit(DraftPool pool) {
        return pool.members().stream()
                .filter(DraftMember::available)
                .mapToInt(pool::headroomWithout)
                .map(headroom -> Math.max(0, -headroom))
                .max()
                .orElse(0);
    }

    private static Variant variant(FleetSnapshot snapshot, Set<PoolName> pools, List<DraftLoan> loans) {
        Set<WorkerId> remaining = workersOf(snapshot, pools);
        FleetDraft draft =
                loans.isEmpty() ? new FleetDraft(snapshot, pools) : draftWithLoans(snapshot, pools, loans, remaining);
        int deficit = pools.stream().mapToInt(pool -> deficit(draft.pool(pool))).sum();
        maintain(draft, remaining, loans);
        return new Variant(loans, deficit, WaveDraft.of(draft));
    }

    private static Set<WorkerId> workersOf(FleetSnapshot snapshot, Set<PoolName> pools) {
        Set<WorkerId> workers = new HashSet<>();
        pools.forEach(
                pool -> snapshot.inventory().pool(pool).members().forEach(member -> workers.add(member.worker())));
        return workers;
    }

    private static void maintain(FleetDraft draft, Set<WorkerId> remaining, List<DraftLoan> loans) {
        Map<PoolName, List<List<DraftMember>>> batchesByPool = new TreeMap<>();
        for (DraftPool pool : draft.pools()) {
            batchesByPool.put(pool.name(), PoolPartition.of(pool, member -> remaining.contains(member.worker())));
        }
        int batches = batchesByPool.values().stream().mapToInt(List::size).max().orElse(0);
        List<DraftLoan> openLoans = new ArrayList<>(loans);
        for (int batch = 0; batch < batches; batch++) {
            int batchIndex = batch;
            openLoans.removeIf(
                    loan -> batchesByPool.get(loan.borrower()).size() <= batchIndex && tryReturn(draft, loan));
            for (List<List<DraftMember>> partition : batchesByPool.values()) {
                if (batch < partition.size()) {
                    addMaintenance(draft, partition.get(batch), remaining);
                }
            }
            draft.endBatch();
        }
        openLoans.forEach(loan -> tryReturn(draft, loan));
        draft.endBatch();
    }

    private static boolean tryReturn(FleetDraft draft, DraftLoan loan) {
        return draft.member(loan.worker())
                .map(member -> draft.tryShift(StepKind.RETURN, member, draft.pool(loan.lender())))
                .orElse(false);
    }

    /**
     * A draft of the wave with a given set of loans.
     */
    private static final class Variant {
        private final List<DraftLoan> loans;
        private final int deficit;
        private final WaveDraft draft;
        private final int maintained;
        private final boolean allLoansReturned;

        private Variant(List<DraftLoan> loans, int deficit, WaveDraft result) {
            this.loans = loans;
            this.deficit = deficit;
            this.draft = result;
            this.maintained = result.maintained();
            this.allLoansReturned = result.batches().stream()
                            .flatMap(batch -> batch.steps().stream())
                            .map(PlanStep::kind)
                            .filter(kind -> kind == StepKind.RETURN)
                            .count()
                    == loans.size();
        }

        /** Compares by loans returned, workers maintained, deficit and weighted cost, in this order. */
        private boolean betterThan(Variant other, PlanMeasureWeights weights) {
            if (allLoansReturned != other.allLoansReturned) {
                return allLoansReturned;
            }
            if (maintained != other.maintained) {
                return maintained > other.maintained;
            }
            if (deficit != other.deficit) {
                return deficit < other.deficit;
            }
            return draft.measures().weightedCost(weights)
                    < other.draft.measures().weightedCost(weights);
        }
    }
}
