package org.trefoilpost.bench.job;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.JobWorker;
import org.trefoilpost.decision.job.PoolCapacity;
import org.trefoilpost.model.worker.Resources;

/**
 * A way to choose a worker for a job.
 */
enum PlacementRule {
    /** The chosen rule: the tightest fit by dominant share. */
    TIGHTEST {
        @Override
        Optional<JobWorker> choose(PoolCapacity capacity, Resources need) {
            return capacity.tightest(need, Set.of());
        }
    },
    /** The first worker with room. */
    FIRST_FIT {
        @Override
        Optional<JobWorker> choose(PoolCapacity capacity, Resources need) {
            return capacity.workers().stream()
                    .filter(worker -> capacity.free(worker.id()).covers(need))
                    .findFirst();
        }
    },
    /** The worker with room whose dominant share in use is least. */
    LEAST_LOADED {
        @Override
        Optional<JobWorker> choose(PoolCapacity capacity, Resources need) {
            return capacity.workers().stream()
                    .filter(worker -> capacity.free(worker.id()).covers(need))
                    .min(Comparator.comparingDouble(worker -> PoolCapacity.dominantShare(
                            worker.capacity().minus(capacity.free(worker.id())), worker.capacity())));
        }
    };

    /**
     * Chooses a worker.
     *
     * @param capacity  the free resources, not null
     * @param need  the need, not null
     * @return the worker, not null, empty if the need fits nowhere now
     */
    abstract Optional<JobWorker> choose(PoolCapacity capacity, Resources need);
}
