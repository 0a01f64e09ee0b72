package org.trefoilpost.decision.planner;

import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * A loan of a worker from one pool to another while a plan is drafted.
 */
final class DraftLoan {
    private final WorkerId worker;
    private final PoolName lender;
    private final PoolName borrower;

    DraftLoan(WorkerId worker, PoolName lender, PoolName borrower) {
        this.worker = worker;
        this.lender = lender;
        this.borrower = borrower;
    }

    WorkerId worker() {
        return worker;
    }

    PoolName lender() {
        return lender;
    }

    PoolName borrower() {
        return borrower;
    }

    @Override
    public String toString() {
        return worker + " from " + lender + " to " + borrower;
    }
}
