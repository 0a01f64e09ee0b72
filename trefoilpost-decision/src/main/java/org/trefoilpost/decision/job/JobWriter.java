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
final class JobWriter {
    private static final long MIN_COMMIT_INTERVAL_MILLIS = 25;
    private static final long MAX_COMMIT_DELAY_MILLIS = 150;
    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 5_000;
    private static final int MAX_REMOVALS_PER_COMMIT = 10;

    private final PoolState state;
    private final Map<PoolWorker, Long> coveredEnds = new HashMap<>();
    private final Map<JobState, JobPhase> writtenPhases = new LinkedHashMap<>();
    private List<String> removedJobs = List.of();
    private long lastNumber;
    private long lastSentMillis = Long.MIN_VALUE / 2;
    private long lastExpiryCheckMillis;
    private boolean inFlight;

    JobWriter(PoolState state) {
        this.state = state;
    }

    /**
     * Sends a change if one is due and none is under way.
     */
    void commitIfDue(Moment now) {
        long nowMillis = now.steadyMillis();
        if (inFlight || nowMillis - lastSentMillis < MIN_COMMIT_INTERVAL_MILLIS) {
            return;
        }
        List<JobState> dirty = new ArrayList<>(state.dirtyJobs);
        if (dirty.isEmpty()) {
            state.workers.values().forEach(slot -> slot.storedEnd = slot.processedEnd);
        }
        List<String> expired = expiredJobs(now);
        boolean due = dirty.stream()
                .anyMatch(job -> job.urgent || nowMillis - job.dirtySinceMillis >= MAX_COMMIT_DELAY_MILLIS);
        if (due || !expired.isEmpty()) {
            send(dirty, expired, nowMillis);
        }
    }

    /**
     * Takes in that the change under way is stored.
     */
    void commitStored(long number, Moment now) {
        if (!inFlight || number != lastNumber) {
            return;
        }
        inFlight = false;
        coveredEnds.forEach((slot, end) -> slot.storedEnd = Math.max(slot.storedEnd, end));
        removedJobs.forEach(state.jobs::remove);
        writtenPhases.forEach((job, phase) -> {
            boolean news = !job.stored || job.storedPhase != phase;
            job.stored = true;
            job.storedPhase = phase;
            if (news) {
                state.actions.phaseStored(job.spec.id(), phase);
            }
        });
        state.placementDue = true;
    }

    private List<String> expiredJobs(Moment now) {
        List<String> expired = new ArrayList<>();
        if (now.steadyMillis() - lastExpiryCheckMillis < EXPIRY_CHECK_INTERVAL_MILLIS) {
            return expired;
        }
        lastExpiryCheckMillis = now.steadyMillis();
        for (JobState job : state.jobs.values()) {
            boolean old = now.wallMillis() - job.endedWallMillis > state.timeouts.endedJobRetentionMillis();
            boolean settled = job.phase.ended() && job.stored && !job.dirty && !hasRuns(job);
            if (settled && old && expired.size() < MAX_REMOVALS_PER_COMMIT) {
                expired.add(job.spec.id());
            }
        }
        return expired;
    }

    private static boolean hasRuns(JobState job) {
        return job.openOccurrences().stream()
                .flatMap(occurrence -> Stream.of(occurrence.steps))
                .flatMap(step -> Stream.of(step.tasks))
                .anyMatch(task -> !task.runs.isEmpty());
    }

    private void send(List<JobState> dirty, List<String> expired, long nowMillis) {
        dirty.sort(Comparator.comparing((JobState job) -> !job.urgent).thenComparingLong(job -> job.dirtySinceMillis));
        List<JobState> taken = dirty.subList(0, Math.min(dirty.size(), Commit.MAX_DOCUMENTS - expired.size()));
        Map<String, byte[]> puts = new LinkedHashMap<>();
        writtenPhases.clear();
        for (JobState job : taken) {
            puts.put(job.spec.id(), JobDocumentCodec.encode(job));
            writtenPhases.put(job, job.phase);
            job.dirty = false;
            state.dirtyJobs.remove(job);
            job.urgent = false;
        }
        coveredEnds.clear();
        if (taken.size() == dirty.size()) {
            state.workers.values().forEach(slot -> coveredEnds.put(slot, slot.processedEnd));
        }
        removedJobs = expired;
        inFlight = true;
        lastSentMillis = nowMillis;
        lastNumber++;
        state.actions.commit(new Commit(lastNumber, puts, expired));
    }
}
