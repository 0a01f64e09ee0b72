package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Writes changed jobs to the store, several at a time, and lets workers forget ends only when these are stored.
 */
final class JobBook {
    private static final long MIN_GAP_MILLIS = 25;
    private static final long LAZY_MILLIS = 150;
    private static final long SWEEP_MILLIS = 5_000;
    private static final int MAX_REMOVED = 10;

    private final PoolState state;
    private final Map<WorkerSlot, Long> endsCovered = new HashMap<>();
    private final Map<JobState, JobPhase> written = new LinkedHashMap<>();
    private List<String> removing = List.of();
    private long lastNumber;
    private long lastSentMillis = Long.MIN_VALUE / 2;
    private long lastSweepMillis;
    private boolean inFlight;

    JobBook(PoolState state) {
        this.state = state;
    }

    /**
     * Sends a change if one is due and none is under way.
     */
    void commitIfDue(Moment now) {
        long nowMillis = now.steadyMillis();
        if (inFlight || nowMillis - lastSentMillis < MIN_GAP_MILLIS) {
            return;
        }
        List<JobState> dirty = new ArrayList<>(state.dirtyJobs);
        if (dirty.isEmpty()) {
            state.slots.values().forEach(slot -> slot.storedEnd = slot.processedEnd);
        }
        List<String> expired = expired(now);
        boolean due = dirty.stream().anyMatch(job -> job.urgent || nowMillis - job.dirtyMillis >= LAZY_MILLIS);
        if (due || !expired.isEmpty()) {
            send(dirty, expired, nowMillis);
        }
    }

    /**
     * Takes in that the change under way is stored.
     */
    void committed(long number, Moment now) {
        if (!inFlight || number != lastNumber) {
            return;
        }
        inFlight = false;
        endsCovered.forEach((slot, end) -> slot.storedEnd = Math.max(slot.storedEnd, end));
        removing.forEach(state.jobs::remove);
        written.forEach((job, phase) -> {
            boolean news = !job.stored || job.storedPhase != phase;
            job.stored = true;
            job.storedPhase = phase;
            if (news) {
                state.actions.stored(job.spec.id(), phase);
            }
        });
        state.placementDue = true;
    }

    private List<String> expired(Moment now) {
        List<String> expired = new ArrayList<>();
        if (now.steadyMillis() - lastSweepMillis < SWEEP_MILLIS) {
            return expired;
        }
        lastSweepMillis = now.steadyMillis();
        for (JobState job : state.jobs.values()) {
            boolean old = now.wallMillis() - job.endedWallMillis > state.bounds.keepEndedMillis();
            boolean settled = job.phase.ended() && job.stored && !job.dirty && !hasRuns(job);
            if (settled && old && expired.size() < MAX_REMOVED) {
                expired.add(job.spec.id());
            }
        }
        return expired;
    }

    private static boolean hasRuns(JobState job) {
        return job.open().stream()
                .flatMap(occurrence -> Stream.of(occurrence.steps))
                .flatMap(step -> Stream.of(step.tasks))
                .anyMatch(task -> !task.runs.isEmpty());
    }

    private void send(List<JobState> dirty, List<String> expired, long nowMillis) {
        dirty.sort(Comparator.comparing((JobState job) -> !job.urgent).thenComparingLong(job -> job.dirtyMillis));
        List<JobState> taken = dirty.subList(0, Math.min(dirty.size(), Commit.MAX_DOCUMENTS - expired.size()));
        Map<String, byte[]> puts = new LinkedHashMap<>();
        written.clear();
        for (JobState job : taken) {
            puts.put(job.spec.id(), JobDocument.encode(job));
            written.put(job, job.phase);
            job.dirty = false;
            state.dirtyJobs.remove(job);
            job.urgent = false;
        }
        endsCovered.clear();
        if (taken.size() == dirty.size()) {
            state.slots.values().forEach(slot -> endsCovered.put(slot, slot.processedEnd));
        }
        removing = expired;
        inFlight = true;
        lastSentMillis = nowMillis;
        lastNumber++;
        state.actions.commit(new Commit(lastNumber, puts, expired));
    }
}
