package org.trefoilpost.entry.fleet;

import java.util.Optional;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.ledger.PlannedStop;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.entry.platform.KeyValueStore;

/**
 * Removes abandoned planned stops from ledgers: stops of ended plans that no longer keep their worker out of service. A
 * late write of a plan's execution can leave such a stop behind.
 */
final class LedgerCleaner {
    private static final long INTERVAL_MILLIS = 10_000;

    private final KeyValueStore store;
    private final FleetState state;
    private final WorkOwnership ownership;
    private final PlanExecution.Callbacks callbacks;
    private long nextRunMillis;

    LedgerCleaner(KeyValueStore store, FleetState state, WorkOwnership ownership, PlanExecution.Callbacks callbacks) {
        this.store = store;
        this.state = state;
        this.ownership = ownership;
        this.callbacks = callbacks;
    }

    /**
     * Removes abandoned planned stops from the ledgers that this entry owns, at a fixed interval.
     *
     * @param nowMillis  the current time in milliseconds since the Unix epoch
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

    private void removeAbandonedStops(Versioned<BudgetLedger> current) {
        BudgetLedger cleaned = current.document().withoutAbandoned(this::isAbandoned);
        if (cleaned.equals(current.document())) {
            return;
        }
        String key = FleetKeys.ledger(cleaned.pool());
        store.write(key, current.revision(), BudgetLedgerCodec.encode(cleaned), Optional.empty())
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
