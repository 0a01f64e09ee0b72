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
 * Maintains each pool in as few batches as its budget allows, all pools side by side, and borrows workers where that is
 * the only way or, if allowed, where it lowers the weighted cost.
 */
public final class LeastCostStrategy implements WaveStrategy {
    /** The most loans of one plan. */
    public static final int MAX_LOANS = 8;

    private final boolean loansToReduceCost;

    private LeastCostStrategy(boolean loansForCost) {
        this.loansToReduceCost = loansForCost;
    }

    /**
     * Obtains the strategy that borrows only where a pool can't be maintained otherwise.
     *
     * @return the strategy, not null
     */
    public static LeastCostStrategy withRequiredLoans() {
        return new LeastCostStrategy(false);
    }

    /**
     * Obtains the strategy that also borrows where it lowers the weighted cost.
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
        Variant plain = variant(snapshot, pools, List.of());
        Variant best = plain;
        boolean improved = loansToReduceCost || plain.deficit > 0;
        while (improved && best.loans.size() < MAX_LOANS) {
            Variant next = bestWithOneMoreLoan(snapshot, pools, best);
            improved = next != best;
            best = next;
        }
        boolean useful = best.maintained > plain.maintained || best.betterThan(plain, snapshot.weights());
        return useful ? best.draft : plain.draft;
    }

    private Variant bestWithOneMoreLoan(FleetSnapshot snapshot, Set<PoolName> pools, Variant present) {
        Variant best = present;
        for (DraftLoan loan : candidateLoans(snapshot, pools, present)) {
            List<DraftLoan> loans = new ArrayList<>(present.loans);
            loans.add(loan);
            Variant next = variant(snapshot, pools, loans);
            if (next.betterThan(best, snapshot.weights())) {
                best = next;
            }
        }
        return best;
    }

    private List<DraftLoan> candidateLoans(FleetSnapshot snapshot, Set<PoolName> pools, Variant present) {
        FleetDraft draft = draftWithLoans(snapshot, pools, present.loans, new HashSet<>());
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

    /** Begins a draft with the loans and, beside them, a first batch of maintenance. */
    private static FleetDraft draftWithLoans(
            FleetSnapshot snapshot, Set<PoolName> pools, List<DraftLoan> loans, Set<WorkerId> left) {
        Set<PoolName> all = new HashSet<>(snapshot.inventory().pools().keySet());
        all.addAll(pools);
        FleetDraft draft = new FleetDraft(snapshot, all);
        for (DraftLoan loan : loans) {
            draft.member(loan.worker())
                    .ifPresent(member -> draft.tryShift(StepKind.LOAN, member, draft.pool(loan.borrower())));
        }
        for (DraftPool pool : draft.pools()) {
            List<List<DraftMember>> partition =
                    PoolPartition.of(pool, member -> draft.selectable(member) && left.contains(member.worker()));
            partition.stream()
                    .max(Comparator.comparingInt(List::size))
                    .ifPresent(batch -> addMaintenance(draft, batch, left));
        }
        draft.endBatch();
        return draft;
    }

    private static void addMaintenance(FleetDraft draft, List<DraftMember> batch, Set<WorkerId> left) {
        for (DraftMember member : batch) {
            if (draft.tryStop(StepKind.MAINTAIN, member)) {
                left.remove(member.worker());
            }
        }
    }

    private static int deficit(DraftPool pool) {
        return pool.members().stream()
                .filter(DraftMember::available)
                .mapToInt(pool::headroomWithout)
                .map(headroom -> Math.max(0, -headroom))
                .max()
                .orElse(0);
    }

    private static Variant variant(FleetSnapshot snapshot, Set<PoolName> pools, List<DraftLoan> loans) {
        Set<WorkerId> left = workersOf(snapshot, pools);
        FleetDraft draft =
                loans.isEmpty() ? new FleetDraft(snapshot, pools) : draftWithLoans(snapshot, pools, loans, left);
        int deficit = pools.stream().mapToInt(pool -> deficit(draft.pool(pool))).sum();
        maintain(draft, left, loans);
        return new Variant(loans, deficit, WaveDraft.of(draft));
    }

    private static Set<WorkerId> workersOf(FleetSnapshot snapshot, Set<PoolName> pools) {
        Set<WorkerId> wanted = new HashSet<>();
        pools.forEach(pool -> snapshot.inventory().pool(pool).members().forEach(member -> wanted.add(member.worker())));
        return wanted;
    }

    private static void maintain(FleetDraft draft, Set<WorkerId> left, List<DraftLoan> loans) {
        Map<PoolName, List<List<DraftMember>>> partitions = new TreeMap<>();
        for (DraftPool pool : draft.pools()) {
            partitions.put(pool.name(), PoolPartition.of(pool, member -> left.contains(member.worker())));
        }
        int batches = partitions.values().stream().mapToInt(List::size).max().orElse(0);
        List<DraftLoan> open = new ArrayList<>(loans);
        for (int batch = 0; batch < batches; batch++) {
            int present = batch;
            open.removeIf(loan -> partitions.get(loan.borrower()).size() <= present && tryReturn(draft, loan));
            for (List<List<DraftMember>> partition : partitions.values()) {
                if (batch < partition.size()) {
                    addMaintenance(draft, partition.get(batch), left);
                }
            }
            draft.endBatch();
        }
        open.forEach(loan -> tryReturn(draft, loan));
        draft.endBatch();
    }

    private static boolean tryReturn(FleetDraft draft, DraftLoan loan) {
        return draft.member(loan.worker())
                .map(member -> draft.tryShift(StepKind.RETURN, member, draft.pool(loan.lender())))
                .orElse(false);
    }

    /**
     * A draft with some loans.
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
