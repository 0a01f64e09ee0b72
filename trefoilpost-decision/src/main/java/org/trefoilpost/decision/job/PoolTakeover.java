package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Takes a pool over from an earlier owner: reads its jobs, and waits until it is known what the earlier owner started.
 */
final class PoolTakeover {
    private static final long MAX_FENCE_WAIT_MILLIS = 900;
    private static final long LEASE_END_MARGIN_MILLIS = 300;

    private final PoolState state;
    private final List<JobDocumentCodec.RunLocation> runLocations = new ArrayList<>();
    private long openedMillis;

    PoolTakeover(PoolState state) {
        this.state = state;
    }

    /**
     * Reads the stored jobs.
     */
    void read(Map<String, byte[]> documents, Moment now) {
        documents.forEach((id, bytes) -> load(id, bytes, now));
    }

    /**
     * Begins to find out what runs, once the listed workers are known.
     *
     * @param registrySettles  when workers that are alive are surely listed, on the steady clock
     */
    void begin(long registrySettles, Moment now) {
        openedMillis = now.steadyMillis();
        state.registryCompleteMillis = registrySettles;
        for (JobDocumentCodec.RunLocation run : runLocations) {
            if (!state.workers.containsKey(run.worker())) {
                addUnlistedWorker(run);
            }
        }
        for (PoolWorker slot : state.workers.values()) {
            slot.assumeLeaseUntil(latestForeignLeaseEndMillis(now));
            state.unresolvedWorkers.add(slot);
        }
        state.actions.logDecision(Decision.of("pool-opened")
                .with("pool", state.pool)
                .with("jobs", state.jobs.size())
                .with("openJobs", state.openJobs.size())
                .with("workers", state.workers.size()));
    }

    private void load(String id, byte[] bytes, Moment now) {
        try {
            JobDocumentCodec.DecodedJob loaded = JobDocumentCodec.decode(bytes, now);
            QueueConfig present = state.queues.get(loaded.job().spec.queue());
            loaded.job().queue = present != null ? present : loaded.job().queue;
            state.add(loaded.job());
            runLocations.addAll(loaded.runLocations());
        } catch (IllegalArgumentException e) {
            state.actions.logDecision(Decision.failure("job-unreadable")
                    .with("job", id)
                    .with("bytes", bytes.length)
                    .with("failure", String.valueOf(e.getMessage())));
        }
    }

    private void addUnlistedWorker(JobDocumentCodec.RunLocation run) {
        PoolWorker slot = new PoolWorker(new RegisteredWorker(
                run.worker(), "", state.pool, run.address(), "", List.of(), ResourceAmount.NONE, false));
        slot.listed = false;
        state.workers.put(slot.id, slot);
    }

    private long latestForeignLeaseEndMillis(Moment now) {
        long lease = (long) (state.timeouts.leaseMillis() / PoolWorker.MIN_CLOCK_RATE) + LEASE_END_MARGIN_MILLIS;
        return now.steadyMillis() + PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS + lease;
    }

    /**
     * Lets placements begin once every worker has answered, or has had the time to.
     */
    void activateIfDue(Moment now) {
        boolean waited = now.steadyMillis() - openedMillis >= MAX_FENCE_WAIT_MILLIS;
        boolean allFenced = state.workers.values().stream().allMatch(slot -> slot.fenced || slot.ended);
        if (!state.active && (allFenced || waited)) {
            state.active = true;
            state.placementDue = true;
            state.actions.logDecision(Decision.of("pool-active")
                    .with("pool", state.pool)
                    .with("unresolvedWorkers", state.unresolvedWorkers.size())
                    .with("afterMillis", now.steadyMillis() - openedMillis));
        }
    }
}
