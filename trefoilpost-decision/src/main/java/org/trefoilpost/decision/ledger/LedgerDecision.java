package org.trefoilpost.decision.ledger;

import java.util.Objects;
import java.util.Optional;

/**
 * The decision of a ledger on a planned stop, with the figures it is based on.
 *
 * <p>An admission takes effect only when the new ledger has been written by a compare-and-swap on the ledger that made the
 * decision. On a conflict the ledger must be read and the decision made again.
 */
public final class LedgerDecision {
    private final Optional<BudgetLedger> ledger;
    private final Optional<LedgerRefusal> refusal;
    private final BudgetFigures figures;

    private LedgerDecision(Optional<BudgetLedger> ledger, Optional<LedgerRefusal> refusal, BudgetFigures figures) {
        this.ledger = ledger;
        this.refusal = refusal;
        this.figures = Objects.requireNonNull(figures, "figures");
    }

    static LedgerDecision admitted(BudgetLedger ledger, BudgetFigures figures) {
        return new LedgerDecision(Optional.of(ledger), Optional.empty(), figures);
    }

    static LedgerDecision refused(LedgerRefusal refusal, BudgetFigures figures) {
        return new LedgerDecision(Optional.empty(), Optional.of(refusal), figures);
    }

    /**
     * Returns whether the stop is admitted.
     *
     * @return true if it may start once the ledger has been written
     */
    public boolean admitted() {
        return ledger.isPresent();
    }

    /**
     * Returns the ledger to write.
     *
     * @return the ledger with the stop, not null, empty if refused
     */
    public Optional<BudgetLedger> ledger() {
        return ledger;
    }

    /**
     * Returns why the stop was refused.
     *
     * @return the reason, not null, empty if admitted
     */
    public Optional<LedgerRefusal> refusal() {
        return refusal;
    }

    /**
     * Returns the figures as they would be while the stop is in progress.
     *
     * @return the figures, not null
     */
    public BudgetFigures figures() {
        return figures;
    }

    /**
     * Returns the decision and its figures.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return refusal.map(reason -> "refused, " + reason.code()).orElse("admitted") + ": " + figures;
    }
}
