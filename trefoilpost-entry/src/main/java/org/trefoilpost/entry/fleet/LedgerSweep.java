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
final class LedgerSweep {
    private static final long INTERVAL_MILLIS = 10_000;

    private final KeyValueStore store;
    private final FleetState state;
    private final Responsibility responsibility;
    private final PlanRun.Host host;
    private long nextMillis;

    LedgerSweep(KeyValueStore store, FleetState state, Responsibility responsibility, PlanRun.Host host) {
        this.store = store;
        this.state = state;
        this.responsibility = responsibility;
        this.host = host;
    }

    /**
     * Sweeps the ledgers that are this entry's to look after, from time to time.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void tick(long nowMillis) {
        if (nowMillis < nextMillis) {
            return;
        }
        nextMillis = nowMillis + INTERVAL_MILLIS;
        state.documents().ledgers().forEach((pool, ledger) -> {
            if (responsibility.isOurs(FleetKeys.ledger(pool))) {
                sweep(ledger);
            }
        });
    }

    private void sweep(Versioned<BudgetLedger> present) {
        BudgetLedger swept = present.document().withoutAbandoned(this::isAbandoned);
        if (swept.equals(present.document())) {
            return;
        }
        String key = FleetKeys.ledger(swept.pool());
        store.write(key, present.revision(), BudgetLedgerCodec.encode(swept), Optional.empty())
                .whenComplete((outcome, failure) -> host.reload(key));
    }

    private boolean isAbandoned(PlannedStop stop) {
        Versioned<WaveState> plan = state.documents().plans().get(stop.plan());
        if (plan == null || !plan.document().ended()) {
            return false;
        }
        return !state.outOfService().keepsOutOfService(plan.document(), stop.worker());
    }
}
