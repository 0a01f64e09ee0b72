package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;

/**
 * The free resources of a pool's usable workers, indexed by accelerators and cores so that a search ends early.
 */
public final class PoolCapacity {
    private static final int MAX_CANDIDATES = 16;

    private final Map<WorkerId, JobWorker> workers = new LinkedHashMap<>();
    private final Map<WorkerId, Resources> free = new LinkedHashMap<>();
    private final TreeMap<Integer, TreeMap<Integer, TreeSet<WorkerId>>> index = new TreeMap<>();

    private PoolCapacity() {}

    /**
     * Obtains the capacity of a pool whose workers run nothing.
     *
     * @param pool  the workers, not null
     * @return the capacity, not null
     */
    public static PoolCapacity of(Collection<JobWorker> pool) {
        PoolCapacity capacity = new PoolCapacity();
        pool.stream().filter(JobWorker::isUsable).forEach(worker -> {
            capacity.workers.put(worker.id(), worker);
            capacity.put(worker.id(), worker.capacity());
        });
        return capacity;
    }

    /**
     * Returns the usable workers in the order in which they were given.
     *
     * @return the workers, not null
     */
    public Collection<JobWorker> workers() {
        return workers.values();
    }

    /**
     * Returns the free resources of a worker.
     *
     * @param worker  the worker, not null
     * @return the free resources, none for a worker that is not usable, not null
     */
    public Resources free(WorkerId worker) {
        return free.getOrDefault(worker, Resources.NONE);
    }

    /**
     * Takes resources of a worker, down to none at the least.
     *
     * @param worker  the worker, not null
     * @param need  the resources, not null
     */
    public void take(WorkerId worker, Resources need) {
        if (free.containsKey(worker)) {
            put(worker, remove(worker).minus(need));
        }
    }

    /**
     * Gives resources of a worker back.
     *
     * @param worker  the worker, not null
     * @param need  the resources, not null
     */
    public void release(WorkerId worker, Resources need) {
        if (free.containsKey(worker)) {
            put(worker, remove(worker).plus(need));
        }
    }

    /**
     * Finds the worker that a need fits most tightly, by the dominant share of what would then be in use.
     *
     * <p>Workers with few free accelerators come first, so that jobs without accelerators leave these to others.
     *
     * @param need  the need, not null
     * @param excluded  the workers that are not to be chosen, not null
     * @return the worker, not null, empty if the need fits nowhere now
     */
    public Optional<JobWorker> tightest(Resources need, Set<WorkerId> excluded) {
        List<WorkerId> candidates = candidates(need, excluded);
        JobWorker best = null;
        double bestShare = -1;
        for (WorkerId candidate : candidates) {
            JobWorker worker = workers.get(candidate);
            double share =
                    dominantShare(worker.capacity().minus(free.get(candidate).minus(need)), worker.capacity());
            if (share > bestShare) {
                best = worker;
                bestShare = share;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the largest share of any resource that a use takes of a capacity.
     *
     * @param used  the use, not null
     * @param capacity  the capacity, not null
     * @return the share, 0 if nothing is used
     */
    public static double dominantShare(Resources used, Resources capacity) {
        double compute =
                Math.max(share(used.cores(), capacity.cores()), share(used.accelerators(), capacity.accelerators()));
        return Math.max(
                compute, Math.max(share(used.memoryMb(), capacity.memoryMb()), share(used.slots(), capacity.slots())));
    }

    private List<WorkerId> candidates(Resources need, Set<WorkerId> excluded) {
        List<WorkerId> found = new ArrayList<>(MAX_CANDIDATES);
        for (TreeMap<Integer, TreeSet<WorkerId>> byCores :
                index.tailMap(need.accelerators(), true).values()) {
            for (TreeSet<WorkerId> bucket : byCores.tailMap(need.cores(), true).values()) {
                for (WorkerId worker : bucket) {
                    if (free.get(worker).covers(need) && !excluded.contains(worker)) {
                        found.add(worker);
                    }
                    if (found.size() == MAX_CANDIDATES) {
                        return found;
                    }
                }
            }
        }
        return found;
    }

    private void put(WorkerId worker, Resources amount) {
        free.put(worker, amount);
        index.computeIfAbsent(amount.accelerators(), accelerators -> new TreeMap<>())
                .computeIfAbsent(amount.cores(), cores -> new TreeSet<>())
                .add(worker);
    }

    private Resources remove(WorkerId worker) {
        Resources amount = free.get(worker);
        TreeMap<Integer, TreeSet<WorkerId>> byCores = index.get(amount.accelerators());
        TreeSet<WorkerId> bucket = byCores.get(amount.cores());
        bucket.remove(worker);
        if (bucket.isEmpty()) {
            byCores.remove(amount.cores());
        }
        if (byCores.isEmpty()) {
            index.remove(amount.accelerators());
        }
        return amount;
    }

    private static double share(int used, int capacity) {
        return used == 0 ? 0 : capacity == 0 ? 1 : (double) used / capacity;
    }
}
