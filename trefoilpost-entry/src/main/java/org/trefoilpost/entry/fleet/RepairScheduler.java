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
final class RepairScheduler {
    /** The operator's name under which a repair runs by standing consent. */
    static final String CONSENT_OPERATOR = "standing-consent";

    private static final long INTERVAL_MILLIS = 2_000;
    private static final long DAY_MILLIS = 24 * 60 * 60 * 1_000L;

    private final FleetState state;
    private final WorkOwnership ownership;
    private final PlanService planService;
    private final FleetService fleet;
    private final Map<PoolName, String> handledVersions = new HashMap<>();
    private Set<PoolName> poolsNeedingRepair = Set.of();
    private long nextRunMillis;

    RepairScheduler(FleetState state, WorkOwnership responsibility, PlanService desk, FleetService fleet) {
        this.state = state;
        this.ownership = responsibility;
        this.planService = desk;
        this.fleet = fleet;
    }

    /**
     * Looks for pools that need a repair, from time to time; a pool must need it twice in a row.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void tick(long nowMillis) {
        if (nowMillis < nextRunMillis || state.listedWorkers().isEmpty()) {
            return;
        }
        nextRunMillis = nowMillis + INTERVAL_MILLIS;
        FleetSnapshot snapshot = state.snapshot();
        Set<PoolName> needyNow = new HashSet<>();
        for (Plan repair : RepairPlanner.repairs(snapshot, nowMillis)) {
            PoolName pool = ((ResizeIntent) repair.intent()).pool();
            needyNow.add(pool);
            if (poolsNeedingRepair.contains(pool) && ownership.isOwnedHere("repair/" + pool)) {
                repair(pool, repair, snapshot, nowMillis);
            }
        }
        handledVersions.keySet().retainAll(needyNow);
        poolsNeedingRepair = needyNow;
    }

    private void repair(PoolName pool, Plan repair, FleetSnapshot snapshot, long nowMillis) {
        String ground = repair.versions().toString();
        if (ground.equals(handledVersions.put(pool, ground))) {
            return;
        }
        String figures = snapshot.figures(pool).toString();
        if (repair.batches().isEmpty()) {
            record(FleetEventKind.REFUSED, pool, repair, "no repair is possible", figures, nowMillis);
            return;
        }
        boolean permitted = repairConsent(pool)
                .map(given -> given.permits(repair, movesInLastDay(nowMillis)))
                .orElse(false);
        if (permitted) {
            record(FleetEventKind.REPAIR_STARTED, pool, repair, "standing consent", figures, nowMillis);
            planService.saveProposal(repair).thenCompose(plan -> planService.confirm(plan.digest(), CONSENT_OPERATOR));
        } else {
            record(FleetEventKind.REPAIR_OFFERED, pool, repair, "the pool is under its budget", figures, nowMillis);
            planService.saveProposal(repair);
        }
    }

    private Optional<RepairConsent> repairConsent(PoolName pool) {
        return state.configuration()
                .pool(pool)
                .flatMap(PoolSettings::standingConsent)
                .map(given -> RepairConsent.of(given.movesPerDay(), Set.copyOf(given.lendingPools())));
    }

    private int movesInLastDay(long nowMillis) {
        int moves = 0;
        for (Versioned<WaveState> plan : state.documents().plans().values()) {
            WaveState wave = plan.document();
            if (wave.operator().equals(CONSENT_OPERATOR) && wave.confirmedMillis() > nowMillis - DAY_MILLIS) {
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
