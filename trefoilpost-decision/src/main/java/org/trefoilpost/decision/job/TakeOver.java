package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Takes a pool over from an earlier owner: reads its jobs, and waits until it is known what the earlier owner started.
 */
final class TakeOver {
    private static final long FENCE_WAIT_MILLIS = 900;
    private static final long LAPSE_MARGIN_MILLIS = 300;

    private final PoolState state;
    private final List<JobDocument.NotedRun> noted = new ArrayList<>();
    private long openedMillis;

    TakeOver(PoolState state) {
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
        state.registrySettledMillis = registrySettles;
        for (JobDocument.NotedRun run : noted) {
            if (!state.slots.containsKey(run.worker())) {
                addUnlisted(run);
            }
        }
        for (WorkerSlot slot : state.slots.values()) {
            slot.assumeLeaseUntil(latestForeignLease(now));
            state.unresolved.add(slot);
        }
        state.actions.decided(Decision.of("pool-opened")
                .with("pool", state.pool)
                .with("jobs", state.jobs.size())
                .with("openJobs", state.openJobs.size())
                .with("workers", state.slots.size()));
    }

    private void load(String id, byte[] bytes, Moment now) {
        try {
            JobDocument.Loaded loaded = JobDocument.decode(bytes, now);
            QueueRule present = state.queues.get(loaded.job().spec.queue());
            loaded.job().queue = present != null ? present : loaded.job().queue;
            state.add(loaded.job());
            noted.addAll(loaded.runs());
        } catch (IllegalArgumentException e) {
            state.actions.decided(Decision.failure("job-unreadable")
                    .with("job", id)
                    .with("bytes", bytes.length)
                    .with("failure", String.valueOf(e.getMessage())));
        }
    }

    private void addUnlisted(JobDocument.NotedRun run) {
        WorkerSlot slot = new WorkerSlot(
                new WorkerReport(run.worker(), "", state.pool, run.address(), "", List.of(), Demand.NONE, false));
        slot.listed = false;
        state.slots.put(slot.id, slot);
    }

    private long latestForeignLease(Moment now) {
        long lease = (long) (state.bounds.leaseMillis() / WorkerSlot.SLOWEST_CLOCK) + LAPSE_MARGIN_MILLIS;
        return now.steadyMillis() + PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS + lease;
    }

    /**
     * Lets placements begin once every worker has answered, or has had the time to.
     */
    void activateIfDue(Moment now) {
        boolean waited = now.steadyMillis() - openedMillis >= FENCE_WAIT_MILLIS;
        boolean allFenced = state.slots.values().stream().allMatch(slot -> slot.fenced || slot.gone);
        if (!state.active && (allFenced || waited)) {
            state.active = true;
            state.placementDue = true;
            state.actions.decided(Decision.of("pool-active")
                    .with("pool", state.pool)
                    .with("unresolvedWorkers", state.unresolved.size())
                    .with("afterMillis", now.steadyMillis() - openedMillis));
        }
    }
}
