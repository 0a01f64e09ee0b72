package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Writes changed jobs to the store in batches, and lets run ends be acknowledged to workers only once they are stored.
 */
final class JobWriter {
    private static final long MIN_COMMIT_INTERVAL_MILLIS = 25;
    private static final long MAX_COMMIT_DELAY_MILLIS = 150;
    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 5_000;
    private static final int MAX_REMOVALS_PER_COMMIT = 10;

    private final PoolState state;
    private final JobEnds jobEnds;
    private final LeaseNotes leaseNotes;
    private final Map<PoolWorker, Long> coveredEnds = new HashMap<>();
    private final Map<JobState, WrittenJob> writtenJobs = new LinkedHashMap<>();
    private List<String> removedJobs = List.of();
    /** The queues that have stored jobs once the last commit is stored. */
    private Set<String> storedQueues = Set.of();

    /** The workers that may have runs of which the store does not know, as the last commit names them, by identifier. */
    private Map<String, RegisteredWorker> writtenWorkers = Map.of();
    /** The same as the last stored commit names them. */
    private Map<String, RegisteredWorker> storedWorkers = Map.of();

    private long lastNumber;
    private long lastSentMillis = Long.MIN_VALUE / 2;
    private long lastExpiryCheckMillis;
    private boolean inFlight;

    JobWriter(PoolState state, JobEnds jobEnds) {
        this.state = state;
        this.jobEnds = jobEnds;
        this.leaseNotes = new LeaseNotes(state);
    }

    /**
     * Sends a commit if one is due and none is in flight.
     */
    void commitIfDue(Moment now) {
        long nowMillis = now.steadyMillis();
        if (inFlight || nowMillis - lastSentMillis < MIN_COMMIT_INTERVAL_MILLIS) {
            return;
        }
        List<JobState> dirtyJobs = new ArrayList<>(state.dirtyJobs);
        if (dirtyJobs.isEmpty()) {
            state.workers.values().forEach(worker -> worker.storedEnd = worker.processedEnd);
        }
        List<String> expired = expiredJobs(now);
        boolean due = dirtyJobs.stream()
                .anyMatch(job -> job.urgent || nowMillis - job.dirtySinceMillis >= MAX_COMMIT_DELAY_MILLIS);
        if (due || !expired.isEmpty()) {
            send(dirtyJobs, expired, now);
        }
    }

    /**
     * Handles the confirmation that the commit in flight is stored; ignores other numbers.
     */
    void commitStored(long number, Moment now) {
        if (!inFlight || number != lastNumber) {
            return;
        }
        inFlight = false;
        storedWorkers = writtenWorkers;
        coveredEnds.forEach((worker, end) -> worker.storedEnd = Math.max(worker.storedEnd, end));
        removedJobs.forEach(state.jobs::remove);
        writtenJobs.forEach((job, written) -> {
            boolean phaseChanged = !job.stored || job.storedPhase != written.phase;
            job.endStoredMillis = phaseChanged ? now.steadyMillis() : job.endStoredMillis;
            job.stored = true;
            job.storedPhase = written.phase;
            job.storedCrashChanges = written.crashChanges;
            leaseNotes.stored(job, written.notedWorkers);
            if (phaseChanged) {
                state.actions.phaseStored(job.spec.id(), written.phase);
            }
        });
        state.placementDue = true;
    }

    /**
     * Handles that the commit in flight has not taken effect and never will; ignores other numbers.
     */
    void commitRejected(long number, Moment now) {
        if (!inFlight || number != lastNumber) {
            return;
        }
        inFlight = false;
        coveredEnds.clear();
        removedJobs = List.of();
        writtenJobs.keySet().forEach(job -> state.markDirty(job, now.steadyMillis(), true));
        writtenJobs.clear();
    }

    /**
     * Removes jobs that are not stored and that no commit which may take effect has contained, and returns them.
     *
     * @param withdrawn  tells which of them are removed
     */
    List<JobState> withdrawUnsent(Predicate<JobState> withdrawn) {
        List<JobState> unsent = state.dirtyJobs.stream()
                .filter(job -> !job.stored && !writtenJobs.containsKey(job) && withdrawn.test(job))
                .toList();
        unsent.forEach(state::remove);
        return unsent;
    }

    private List<String> expiredJobs(Moment now) {
        List<String> expired = new ArrayList<>();
        if (now.steadyMillis() - lastExpiryCheckMillis < EXPIRY_CHECK_INTERVAL_MILLIS) {
            return expired;
        }
        for (JobState job : state.jobs.values()) {
            if (isExpired(job, now)) {
                expired.add(job.spec.id());
                if (expired.size() == MAX_REMOVALS_PER_COMMIT) {
                    // The next commit removes further ones.
                    return expired;
                }
            }
        }
        lastExpiryCheckMillis = now.steadyMillis();
        return expired;
    }

    private boolean isExpired(JobState job, Moment now) {
        boolean retentionOver = now.steadyMillis() - job.endStoredMillis > state.timeouts.endedJobRetentionMillis();
        return retentionOver && job.phase.ended() && job.stored && !job.dirty && !hasRuns(job);
    }

    private static boolean hasRuns(JobState job) {
        return job.openOccurrences().stream()
                .flatMap(occurrence -> Stream.of(occurrence.steps))
                .flatMap(step -> Stream.of(step.tasks))
                .anyMatch(task -> !task.runs.isEmpty());
    }

    private void send(List<JobState> dirtyJobs, List<String> expired, Moment now) {
        dirtyJobs.sort(
                Comparator.comparing((JobState job) -> !job.urgent).thenComparingLong(job -> job.dirtySinceMillis));
        List<JobState> batch = dirtyJobs.subList(0, Math.min(dirtyJobs.size(), Commit.MAX_DOCUMENTS - expired.size()));
        Map<String, byte[]> puts = new LinkedHashMap<>();
        batch.forEach(job -> puts.put(job.spec.id(), encode(job, now)));
        writtenJobs.clear();
        for (JobState job : batch) {
            writtenJobs.put(job, new WrittenJob(job.phase, job.crashChanges, job.leaseNotes.keySet()));
            job.dirty = false;
            state.dirtyJobs.remove(job);
            job.urgent = false;
        }
        coveredEnds.clear();
        if (batch.size() == dirtyJobs.size()) {
            state.workers.values().forEach(worker -> coveredEnds.put(worker, worker.processedEnd));
        }
        removedJobs = expired;
        inFlight = true;
        lastSentMillis = now.steadyMillis();
        storedQueues = queuesAfter(batch, expired);
        lastNumber++;
        boolean acceptsJobs = batch.stream().anyMatch(job -> !job.stored);
        writtenWorkers = workersAfter(batch.size() == dirtyJobs.size());
        state.actions.commit(new Commit(
                lastNumber,
                puts,
                expired,
                Set.copyOf(storedQueues),
                acceptsJobs,
                List.copyOf(writtenWorkers.values())));
    }

    /**
     * Returns the workers that may have runs of which the store does not know once a commit is stored.
     *
     * @param allWritten  false if there are more changed jobs than the commit contains, of which those may be that have runs on workers
     *     which are not listed any more
     */
    private Map<String, RegisteredWorker> workersAfter(boolean allWritten) {
        Map<String, RegisteredWorker> workers = new TreeMap<>(allWritten ? Map.of() : storedWorkers);
        state.workersWithUnstoredRuns().forEach(worker -> workers.put(worker.id(), worker));
        return workers;
    }

    /**
     * Encodes a job. One whose document the store would refuse is ended as failed, as it would keep all others from being
     * stored; the document of an ended job is short.
     */
    private byte[] encode(JobState job, Moment now) {
        String cause;
        job.leaseNotes = leaseNotes.write(job, now.steadyMillis());
        try {
            byte[] document = JobDocumentCodec.encode(job);
            if (job.phase.ended() || document.length <= Commit.MAX_DOCUMENT_BYTES) {
                return document;
            }
            cause = document.length + " bytes, at most " + Commit.MAX_DOCUMENT_BYTES + " are stored";
        } catch (RuntimeException e) {
            cause = e.toString();
        }
        jobEnds.failUnstorable(job, cause, now);
        return JobDocumentCodec.encode(job);
    }

    /**
     * Returns the queues that have stored jobs once a commit is stored. Only the first commit and those that remove jobs
     * require a look at all jobs.
     */
    private Set<String> queuesAfter(List<JobState> written, List<String> removed) {
        Set<String> queues = new TreeSet<>(storedQueues);
        if (lastNumber == 0 || !removed.isEmpty()) {
            queues.clear();
            state.jobs.values().stream()
                    .filter(job -> job.stored && !removed.contains(job.spec.id()))
                    .forEach(job -> queues.add(job.spec.queue()));
        }
        written.forEach(job -> queues.add(job.spec.queue()));
        return queues;
    }

    /**
     * What a commit contains of a job.
     *
     * @param notedWorkers  the workers about which it contains a note
     */
    private record WrittenJob(JobPhase phase, int crashChanges, Set<String> notedWorkers) {}
}
