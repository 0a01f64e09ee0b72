package org.trefoilpost.entry.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.event.FleetEventKind;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.ResizeIntent;
import org.trefoilpost.decision.planner.FleetSnapshot;
import org.trefoilpost.decision.planner.RepairConsent;
import org.trefoilpost.decision.planner.RepairPlanner;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.configuration.PoolSettings;

/**
 * Makes a repair plan for each pool under its budget: runs it under the pool's standing consent, or offers it to the
 * operators. The duty's thread owns it.
 */
final class Repairs {
    /** The operator's name under which a repair runs by standing consent. */
    static final String CONSENT = "standing-consent";

    private static final long INTERVAL_MILLIS = 2_000;
    private static final long DAY_MILLIS = 24 * 60 * 60 * 1_000L;

    private final FleetState state;
    private final Responsibility responsibility;
    private final PlanDesk desk;
    private final FleetDuty fleet;
    private final Map<PoolName, String> offered = new HashMap<>();
    private Set<PoolName> needy = Set.of();
    private long nextMillis;

    Repairs(FleetState state, Responsibility responsibility, PlanDesk desk, FleetDuty fleet) {
        this.state = state;
        this.responsibility = responsibility;
        this.desk = desk;
        this.fleet = fleet;
    }

    /**
     * Looks for pools that need a repair, from time to time; a pool must need it twice in a row.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void tick(long nowMillis) {
        if (nowMillis < nextMillis || state.listed().isEmpty()) {
            return;
        }
        nextMillis = nowMillis + INTERVAL_MILLIS;
        FleetSnapshot snapshot = state.snapshot();
        Set<PoolName> needyNow = new HashSet<>();
        for (Plan repair : RepairPlanner.repairs(snapshot, nowMillis)) {
            PoolName pool = ((ResizeIntent) repair.intent()).pool();
            needyNow.add(pool);
            if (needy.contains(pool) && responsibility.isOurs("repair/" + pool)) {
                repair(pool, repair, snapshot, nowMillis);
            }
        }
        offered.keySet().retainAll(needyNow);
        needy = needyNow;
    }

    private void repair(PoolName pool, Plan repair, FleetSnapshot snapshot, long nowMillis) {
        String ground = repair.versions().toString();
        if (ground.equals(offered.put(pool, ground))) {
            return;
        }
        String figures = snapshot.figures(pool).toString();
        if (repair.batches().isEmpty()) {
            record(FleetEventKind.REFUSED, pool, repair, "no repair is possible", figures, nowMillis);
            return;
        }
        boolean permitted = consent(pool)
                .map(given -> given.permits(repair, movesToday(nowMillis)))
                .orElse(false);
        if (permitted) {
            record(FleetEventKind.REPAIR_STARTED, pool, repair, "standing consent", figures, nowMillis);
            desk.keep(repair).thenCompose(plan -> desk.confirm(plan.digest(), CONSENT));
        } else {
            record(FleetEventKind.REPAIR_OFFERED, pool, repair, "the pool is under its budget", figures, nowMillis);
            desk.keep(repair);
        }
    }

    private Optional<RepairConsent> consent(PoolName pool) {
        return state.configuration()
                .pool(pool)
                .flatMap(PoolSettings::standingConsent)
                .map(given -> RepairConsent.of(given.movesPerDay(), Set.copyOf(given.lendingPools())));
    }

    private int movesToday(long nowMillis) {
        int moves = 0;
        for (Versioned<WaveState> plan : state.documents().plans().values()) {
            WaveState wave = plan.document();
            if (wave.operator().equals(CONSENT) && wave.confirmedMillis() > nowMillis - DAY_MILLIS) {
                moves += wave.plan().measures().moves();
            }
        }
        return moves;
    }

    private void record(FleetEventKind kind, PoolName pool, Plan repair, String cause, String figures, long nowMillis) {
        fleet.record(List.of(FleetEvent.builder(kind, nowMillis, cause)
                .pool(pool)
                .plan(repair.digest())
                .figures(figures)
                .build()));
    }
}
