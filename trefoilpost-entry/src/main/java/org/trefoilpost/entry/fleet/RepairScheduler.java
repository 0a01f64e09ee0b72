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
 * Proposes a repair plan for each pool that is below its budget, and confirms it if the pool's standing consent
 * permits. Confined to the fleet service's thread.
 */
final class RepairScheduler {
    /** The operator's name on plans that are confirmed by standing consent. */
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

    RepairScheduler(FleetState state, WorkOwnership ownership, PlanService planService, FleetService fleet) {
        this.state = state;
        this.ownership = ownership;
        this.planService = planService;
        this.fleet = fleet;
    }

    /**
     * Repairs the pools that need it, at a fixed interval. A pool must need it at two successive checks.
     *
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void tick(long nowMillis) {
        if (nowMillis < nextRunMillis || state.listedWorkers().isEmpty()) {
            return;
        }
        nextRunMillis = nowMillis + INTERVAL_MILLIS;
        FleetSnapshot snapshot = state.snapshot();
        Set<PoolName> needingRepairNow = new HashSet<>();
        for (Plan repair : RepairPlanner.repairs(snapshot, nowMillis)) {
            PoolName pool = ((ResizeIntent) repair.intent()).pool();
            needingRepairNow.add(pool);
            if (poolsNeedingRepair.contains(pool) && ownership.isOwnedHere("repair/" + pool)) {
                repair(pool, repair, snapshot, nowMillis);
            }
        }
        handledVersions.keySet().retainAll(needingRepairNow);
        poolsNeedingRepair = needingRepairNow;
    }

    private void repair(PoolName pool, Plan repair, FleetSnapshot snapshot, long nowMillis) {
        String versions = repair.versions().toString();
        if (versions.equals(handledVersions.put(pool, versions))) {
            return;
        }
        String figures = snapshot.figures(pool).toString();
        if (repair.batches().isEmpty()) {
            record(FleetEventKind.REFUSED, pool, repair, "no repair is possible", figures, nowMillis);
            return;
        }
        boolean permitted = repairConsent(pool)
                .map(consent -> consent.permits(repair, movesInLastDay(nowMillis)))
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
                .map(consent -> RepairConsent.of(consent.movesPerDay(), Set.copyOf(consent.lendingPools())));
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
