package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.CancelIntent;
import org.trefoilpost.decision.plan.DrainIntent;
import org.trefoilpost.decision.plan.Intent;
import org.trefoilpost.decision.plan.MoveIntent;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.decision.plan.PlanRefusal;
import org.trefoilpost.decision.plan.PlanRefusalReason;
import org.trefoilpost.decision.plan.ReleaseIntent;
import org.trefoilpost.decision.plan.ResizeIntent;
import org.trefoilpost.decision.plan.WaveIntent;
import org.trefoilpost.model.PoolName;

/**
 * Makes a plan for an intent.
 *
 * <p>No plan takes a pool under its budget at any step; what would is left out and listed with the reason.
 */
public final class Planner {
    private final WaveStrategy waveStrategy;

    private Planner(WaveStrategy waves) {
        this.waveStrategy = waves;
    }

    /**
     * Obtains a planner.
     *
     * @param waves  the strategy for waves, not null
     * @return the planner, not null
     */
    public static Planner of(WaveStrategy waves) {
        return new Planner(Objects.requireNonNull(waves, "waves"));
    }

    /**
     * Makes a plan.
     *
     * @param intent  the intent, not null
     * @param snapshot  what the plan is computed from, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the plan, not null; without batches if nothing can be done
     */
    public Plan plan(Intent intent, FleetSnapshot snapshot, long nowMillis) {
        if (intent instanceof WaveIntent wave) {
            return planWave(wave, snapshot, nowMillis);
        }
        List<PlanRefusal> refusals = new ArrayList<>();
        FleetDraft draft = new FleetDraft(snapshot, knownPools(snapshot, intent));
        if (intent instanceof DrainIntent drain) {
            DrainPlanner.draft(drain, draft, refusals);
        } else if (intent instanceof ResizeIntent resize) {
            ResizePlanner.draft(resize, snapshot, draft, refusals);
        } else if (intent instanceof MoveIntent move) {
            SingleWorkerPlanner.draftMove(move, snapshot, draft, refusals);
        } else if (intent instanceof ReleaseIntent release) {
            SingleWorkerPlanner.draftRelease(release, snapshot, draft, refusals);
        } else if (intent instanceof CancelIntent) {
            refusals.add(refusal("plan", PlanRefusalReason.NOTHING_TO_DO, "a plan is cancelled without a plan"));
        }
        draft.endBatch();
        return build(intent, snapshot, nowMillis, draft.batches(), draft.measures(), PlanMeasures.ZERO, refusals);
    }

    private static Set<PoolName> knownPools(FleetSnapshot snapshot, Intent intent) {
        Set<PoolName> pools = new TreeSet<>(snapshot.inventory().pools().keySet());
        pools.addAll(snapshot.budgetedPools());
        return pools;
    }

    private Plan planWave(WaveIntent intent, FleetSnapshot snapshot, long nowMillis) {
        Set<PoolName> pools = intent.pool()
                .map(Set::of)
                .orElseGet(() -> new TreeSet<>(snapshot.inventory().pools().keySet()));
        List<PlanRefusal> refusals = new ArrayList<>();
        long workers = pools.stream()
                .mapToLong(pool -> snapshot.inventory().pool(pool).members().size())
                .sum();
        if (workers == 0) {
            String subject = intent.pool().map(pool -> "pool " + pool).orElse("fleet");
            refusals.add(refusal(subject, PlanRefusalReason.UNKNOWN, "it has no workers"));
        }
        if (workers > Plan.MAX_STEPS) {
            refusals.add(refusal(
                    "fleet",
                    PlanRefusalReason.TOO_LARGE,
                    workers + " workers are more than the " + Plan.MAX_STEPS + " steps of a plan; plan by pools"));
        }
        if (!refusals.isEmpty()) {
            return build(intent, snapshot, nowMillis, List.of(), PlanMeasures.ZERO, PlanMeasures.ZERO, refusals);
        }
        WaveDraft draft = waveStrategy.draft(snapshot, pools);
        WaveRefusals.collect(snapshot, pools, draft, refusals);
        PlanMeasures bounds = LowerBounds.of(snapshot, pools);
        return build(intent, snapshot, nowMillis, draft.batches(), draft.measures(), bounds, refusals);
    }

    static Plan build(
            Intent intent,
            FleetSnapshot snapshot,
            long nowMillis,
            Collection<PlanBatch> batches,
            PlanMeasures measures,
            PlanMeasures lowerBounds,
            List<PlanRefusal> refusals) {
        Set<PoolName> touched = new TreeSet<>();
        batches.forEach(batch -> batch.steps().forEach(step -> {
            touched.add(step.pool());
            Optional<PoolName> target = step.target();
            target.ifPresent(touched::add);
        }));
        return Plan.builder(intent, snapshot.versions(touched), nowMillis)
                .batches(List.copyOf(batches))
                .measures(measures, lowerBounds)
                .refusals(refusals)
                .build();
    }

    static PlanRefusal refusal(String subject, PlanRefusalReason reason, String detail) {
        return PlanRefusal.of(subject, reason, detail);
    }
}
