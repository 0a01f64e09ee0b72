package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.trefoilpost.decision.plan.PlanMeasures;
import org.trefoilpost.model.PoolName;

/**
 * Computes a lower bound of each measure of a wave.
 *
 * <p>The bounds hold for plans without loans. No batch of a pool can be larger than the largest set of workers whose
 * stop keeps the floor and the smallest possible reserve, so a pool needs at least as many batches as its workers
 * divided by that size, rounded up. The bounds ignore which workers share a rack, so a plan may not reach them.
 */
public final class LowerBounds {
    private LowerBounds() {}

    /**
     * Computes the bounds of a wave.
     *
     * @param snapshot  the state of the fleet, not null
     * @param pools  the pools whose workers are maintained, not null
     * @return the least buffer cost, the least roll-out time and the least moves, each on its own, not null
     */
    public static PlanMeasures of(FleetSnapshot snapshot, Set<PoolName> pools) {
        FleetDraft draft = new FleetDraft(snapshot, pools);
        double minutes = snapshot.estimates().maintenanceMinutes();
        int maxBatches = 0;
        double buffer = 0;
        for (DraftPool pool : draft.pools()) {
            int workers =
                    (int) pool.members().stream().filter(DraftMember::available).count();
            int availableAboveFloor = pool.available() - pool.budget().floor();
            int maxBatchSize = largestBatch(pool);
            if (maxBatchSize > 0) {
                int batches = (workers + maxBatchSize - 1) / maxBatchSize;
                maxBatches = Math.max(maxBatches, batches);
                buffer += minutes * Math.max(0, batches * availableAboveFloor - workers);
            }
        }
        return PlanMeasures.of(buffer, maxBatches * minutes, 0);
    }

    private static int largestBatch(DraftPool pool) {
        int stopped = 0;
        boolean progress = true;
        List<DraftMember> remaining = new ArrayList<>(
                pool.members().stream().filter(DraftMember::available).toList());
        while (progress) {
            DraftMember largest = null;
            for (DraftMember member : remaining) {
                boolean larger = largest == null || pool.domainSize(member) > pool.domainSize(largest);
                largest = larger ? member : largest;
            }
            progress = largest != null && pool.headroomWithout(largest) >= 0;
            if (progress) {
                pool.markUnavailable(largest);
                remaining.remove(largest);
                stopped++;
            }
        }
        return stopped;
    }
}
