package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Takes over a pool from an earlier owner: loads its jobs, and waits until the workers have reported the runs that the
 * earlier owner started.
 */
final class PoolTakeover {
    private static final long MAX_FENCE_WAIT_MILLIS = 900;

    private final PoolState state;
    private final List<JobDocumentCodec.RunLocation> runLocations = new ArrayList<>();
    private long openedMillis;

    PoolTakeover(PoolState state) {
        this.state = state;
    }

    /**
     * Loads the stored jobs; logs those that cannot be decoded.
     */
    void read(Map<String, byte[]> documents, Moment now) {
        documents.forEach((id, bytes) -> load(id, bytes, now));
    }

    /**
     * Begins to determine the existing runs, once the listed workers are known.
     *
     * @param delisted  the workers that the registry has ceased to list lately
     * @param registryCompleteMillis  when the registry lists all live workers, on the steady clock in milliseconds
     */
    void begin(Collection<DelistedWorker> delisted, long registryCompleteMillis, Moment now) {
        openedMillis = now.steadyMillis();
        state.registryCompleteMillis = registryCompleteMillis;
        state.foreignOrdersUntilMillis = openedMillis + Run.MAX_ORDER_DELAY_MILLIS;
        for (JobDocumentCodec.RunLocation location : runLocations) {
            if (!state.workers.containsKey(location.worker())) {
                addUnlistedWorker(location);
            }
            PoolWorker worker = state.workers.get(location.worker());
            worker.unreportedRuns = Stream.concat(worker.unreportedRuns.stream(), Stream.of(location))
                    .toList();
        }
        new LeaseNotes(state).inherit(openedMillis);
        for (PoolWorker worker : state.workers.values()) {
            worker.lease.assumeUntil(latestForeignLeaseEndMillis(worker, now));
            state.unresolvedWorkers.add(worker);
        }
        delisted.forEach(this::addDelisted);
        state.actions.logDecision(Decision.of("pool-opened")
                .with("pool", state.pool)
                .with("jobs", state.jobs.size())
                .with("openJobs", state.openJobs.size())
                .with("workers", state.workers.size())
                .with("delistedWorkers", delisted.size()));
    }

    /**
     * Adds a worker on which an earlier owner may have started tasks before it learned that the registry has ceased to list it.
     */
    private void addDelisted(DelistedWorker delisted) {
        RegisteredWorker registration = delisted.registration();
        if (!state.workers.containsKey(registration.id())) {
            PoolWorker worker = new PoolWorker(registration.withCapacity(ResourceAmount.NONE));
            worker.listed = false;
            worker.lease.assumeUntil(delisted.sinceMillis() + state.timeouts.maxForeignLeaseMillis());
            state.workers.put(worker.id, worker);
            state.unresolvedWorkers.add(worker);
        }
    }

    private void load(String id, byte[] bytes, Moment now) {
        try {
            JobDocumentCodec.DecodedJob loaded = JobDocumentCodec.decode(bytes, now);
            QueueConfig configured = state.queues.get(loaded.job().spec.queue());
            loaded.job().queue = configured != null ? configured : loaded.job().queue;
            state.add(loaded.job());
            runLocations.addAll(loaded.runLocations());
        } catch (IllegalArgumentException e) {
            state.actions.logDecision(Decision.failure("job-unreadable")
                    .with("job", id)
                    .with("bytes", bytes.length)
                    .with("failure", String.valueOf(e.getMessage())));
        }
    }

    private void addUnlistedWorker(JobDocumentCodec.RunLocation location) {
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                location.worker(), "", state.pool, location.address(), "", List.of(), ResourceAmount.NONE, false));
        worker.listed = false;
        state.workers.put(worker.id, worker);
    }

    /**
     * Returns when the lease of a worker ends at the latest: as the stored jobs say, or else after the last lease that an earlier
     * owner may grant.
     */
    private long latestForeignLeaseEndMillis(PoolWorker worker, Moment now) {
        long longestMillis = state.timeouts.maxForeignLeaseMillis();
        long notedMillis = LeaseNotes.inheritedMillis(worker).orElse(longestMillis);
        return now.steadyMillis() + Math.min(longestMillis, notedMillis + PoolTimeouts.LEASE_END_MARGIN_MILLIS);
    }

    /**
     * Enables placements once every listed worker has answered or has ended, or the time to answer has passed.
     */
    void activateIfDue(Moment now) {
        boolean timedOut = now.steadyMillis() - openedMillis >= MAX_FENCE_WAIT_MILLIS;
        boolean allFenced =
                state.workers.values().stream().allMatch(worker -> worker.fenced || worker.ended || !worker.listed);
        if (!state.active && (allFenced || timedOut)) {
            state.active = true;
            state.placementDue = true;
            state.actions.logDecision(Decision.of("pool-active")
                    .with("pool", state.pool)
                    .with("unresolvedWorkers", state.unresolvedWorkers.size())
                    .with("afterMillis", now.steadyMillis() - openedMillis));
        }
    }
}
