package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilpost.model.DataCentreName;

/**
 * Finds the workers that a pool may borrow.
 *
 * <p>The pools with the most headroom lend first. Of a lender's workers, one is taken that adds least to the
 * borrower's largest correlated loss, and among these one in the data centre where the borrower has most workers.
 */
final class LoanCandidates {
    /** The most pools that are considered as lenders at once. */
    static final int MAX_LENDERS = 4;

    private LoanCandidates() {}

    static List<DraftLoan> of(FleetDraft draft, DraftPool borrower) {
        List<DraftPool> lenders = draft.pools().stream()
                .filter(pool -> pool != borrower && pool.headroom() > 0)
                .sorted(Comparator.comparingInt(DraftPool::headroom).reversed())
                .limit(MAX_LENDERS)
                .toList();
        List<DraftLoan> loans = new ArrayList<>();
        for (DraftPool lender : lenders) {
            lender.members().stream()
                    .filter(member -> member.available() && lender.headroomWithout(member) >= 0)
                    .min(preference(borrower))
                    .ifPresent(member -> loans.add(new DraftLoan(member.worker(), lender.name(), borrower.name())));
        }
        return loans;
    }

    private static Comparator<DraftMember> preference(DraftPool borrower) {
        Map<DataCentreName, Integer> counts = new HashMap<>();
        borrower.members().forEach(member -> counts.merge(member.dataCentre(), 1, Integer::sum));
        return Comparator.comparingInt((DraftMember member) -> borrower.domainSize(member))
                .thenComparingInt(member -> -counts.getOrDefault(member.dataCentre(), 0))
                .thenComparing(DraftMember::worker);
    }
}
