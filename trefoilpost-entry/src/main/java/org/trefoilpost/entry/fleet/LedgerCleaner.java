package org.trefoilpost.entry.fleet;

import java.util.Optional;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.ledger.PlannedStop;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.entry.platform.KeyValueStore;

/**
 * Takes planned stops out of ledgers whose plan has ended without a need for them, as a plan's late write may leave one.
 */
final class LedgerCleaner {
    private static final long INTERVAL_MILLIS = 10_000;

    private final KeyValueStore store;
    private final FleetState state;
    private final WorkOwnership ownership;
    private final PlanExecution.Callbacks callbacks;
    private long nextRunMillis;

    LedgerCleaner(KeyValueStore store, FleetState state, WorkOwnership responsibility, PlanExecution.Callbacks host) {
        this.store = store;
        this.state = state;
        this.ownership = responsibility;
        this.callbacks = host;
    }

    /**
     * Sweeps the ledgers that are this entry's to look after, from time to time.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void tick(long nowMillis) {
        if (nowMillis < nextRunMillis) {
            return;
        }
        nextRunMillis = nowMillis + INTERVAL_MILLIS;
        state.documents().ledgers().forEach((pool, ledger) -> {
            if (ownership.isOwnedHere(FleetKeys.ledger(pool))) {
                removeAbandonedStops(ledger);
            }
        });
    }

    private void removeAbandonedStops(Versioned<BudgetLedger> present) {
        BudgetLedger swept = present.document().withoutAbandoned(this::isAbandoned);
        if (swept.equals(present.document())) {
            return;
        }
        String key = FleetKeys.ledger(swept.pool());
        store.write(key, present.revision(), BudgetLedgerCodec.encode(swept), Optional.empty())
                .whenComplete((outcome, failure) -> callbacks.reload(key));
    }

    private boolean isAbandoned(PlannedStop stop) {
        Versioned<WaveState> plan = state.documents().plans().get(stop.plan());
        if (plan == null || !plan.document().ended()) {
            return false;
        }
        return !state.outOfService().keepsOutOfService(plan.document(), stop.worker());
    }
}
