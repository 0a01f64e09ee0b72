package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.model.PoolName;

/**
 * Works out the least value that each measure of a wave could have.
 *
 * <p>The bounds hold for plans without loans. No batch of a pool can be larger than the largest set whose stop leaves
 * the floor and the smallest possible reserve, so a pool needs at least its workers divided by that size, rounded up. The
 * bounds ignore which workers are in which rack, so a plan may not be able to reach them.
 */
public final class LowerBounds {
    private LowerBounds() {}

    /**
     * Computes the bounds of a wave.
     *
     * @param snapshot  what the plan is computed from, not null
     * @param pools  the pools whose workers are maintained, not null
     * @return the least buffer cost, the least roll-out time and the least moves, each on its own, not null
     */
    public static PlanMeasures of(FleetSnapshot snapshot, Set<PoolName> pools) {
        FleetDraft draft = new FleetDraft(snapshot, pools);
        double minutes = snapshot.estimates().maintenanceMinutes();
        int longest = 0;
        double buffer = 0;
        for (DraftPool pool : draft.pools()) {
            int workers =
                    (int) pool.members().stream().filter(DraftMember::available).count();
            int spare = pool.available() - pool.budget().floor();
            int largest = largestBatch(pool);
            if (largest > 0) {
                int batches = (workers + largest - 1) / largest;
                longest = Math.max(longest, batches);
                buffer += minutes * Math.max(0, batches * spare - workers);
            }
        }
        return PlanMeasures.of(buffer, longest * minutes, 0);
    }

    private static int largestBatch(DraftPool pool) {
        int stopped = 0;
        boolean progress = true;
        List<DraftMember> left = new ArrayList<>(
                pool.members().stream().filter(DraftMember::available).toList());
        while (progress) {
            DraftMember largest = null;
            for (DraftMember member : left) {
                boolean larger = largest == null || pool.domainSize(member) > pool.domainSize(largest);
                largest = larger ? member : largest;
            }
            progress = largest != null && pool.headroomWithout(largest) >= 0;
            if (progress) {
                pool.markUnavailable(largest);
                left.remove(largest);
                stopped++;
            }
        }
        return stopped;
    }
}
