package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The workers that the registry has ceased to list lately. One that is cut off from the registry only runs on, and an owner may have
 * started tasks there as long as it took the worker for listed, so that the next owner of its pool must expect runs on it of which the
 * store does not know yet.
 */
public final class DelistedWorkers {
    private final long retentionMillis;
    private final Map<String, DelistedWorker> workers = new HashMap<>();
    /** From when on the workers are known that the registry ceases to list. */
    private final long followedSinceMillis;

    /**
     * Constructs a set without workers.
     *
     * @param timeouts  the timeouts, which tell for how long runs may go on, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public DelistedWorkers(PoolTimeouts timeouts, long nowMillis) {
        this.retentionMillis = timeouts.maxForeignLeaseMillis();
        this.followedSinceMillis = nowMillis;
    }

    /**
     * Applies that the registry lists a worker.
     *
     * @param worker  the identifier of the worker, not null
     */
    public void listed(String worker) {
        workers.remove(worker);
    }

    /**
     * Applies that the registry has ceased to list a worker.
     *
     * @param worker  the worker as last listed, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void removed(RegisteredWorker worker, long nowMillis) {
        workers.values().removeIf(former -> isOver(former.sinceMillis(), nowMillis));
        workers.put(worker.id(), new DelistedWorker(worker, nowMillis));
    }

    /**
     * Returns the workers of a pool that the registry does not list and on which runs may go on of which the store does not know.
     *
     * @param pool  the name of the pool, not null
     * @param stored  the workers that an earlier owner has stored as those that may have such runs, empty if none has: then all count
     *     that have ceased to be listed since the registry is followed, not null
     * @param listed  the identifiers of the workers that the registry lists, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     * @return the workers, not null
     */
    public List<DelistedWorker> withUnstoredRuns(
            String pool, Optional<List<RegisteredWorker>> stored, Set<String> listed, long nowMillis) {
        if (stored.isEmpty()) {
            return ofPool(pool, nowMillis);
        }
        List<RegisteredWorker> unlisted = stored.get().stream()
                .filter(worker -> !listed.contains(worker.id()))
                .toList();
        return of(unlisted, nowMillis);
    }

    /**
     * Returns the workers of a pool that the registry has ceased to list and on which runs may go on, as far as changes of the registry
     * have shown them.
     */
    List<DelistedWorker> ofPool(String pool, long nowMillis) {
        return workers.values().stream()
                .filter(worker -> worker.registration().pool().equals(pool))
                .filter(worker -> !isOver(worker.sinceMillis(), nowMillis))
                .toList();
    }

    /**
     * Returns those of some workers on which runs may go on, if the registry does not list them.
     */
    List<DelistedWorker> of(Collection<RegisteredWorker> unlisted, long nowMillis) {
        List<DelistedWorker> found = new ArrayList<>();
        for (RegisteredWorker worker : unlisted) {
            DelistedWorker known = workers.get(worker.id());
            if (known != null && !isOver(known.sinceMillis(), nowMillis)) {
                found.add(known);
            } else if (known == null && !isOver(followedSinceMillis, nowMillis)) {
                // It may have ceased to be listed just before the registry was followed.
                found.add(new DelistedWorker(worker, followedSinceMillis));
            }
        }
        return found;
    }

    private boolean isOver(long sinceMillis, long nowMillis) {
        return nowMillis - sinceMillis >= retentionMillis;
    }
}
