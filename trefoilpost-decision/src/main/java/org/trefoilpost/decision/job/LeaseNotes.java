package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Notes in the stored jobs that tell the next owner of the pool when the leases of silent workers end at the latest. It need not
 * assume then that they were renewed for as long as an owner may give orders without the store.
 *
 * <p>A note is a promise: as long as one may be stored, the worker is granted nothing. So only workers get one that have no runs
 * but starts without an answer, or of which an earlier owner has left a note and that have not answered since.
 */
final class LeaseNotes {
    private final PoolState state;

    LeaseNotes(PoolState state) {
        this.state = state;
    }

    /**
     * Takes over the notes of the loaded jobs. They are written anew, as they name times from their last writing.
     */
    void inherit(long nowMillis) {
        for (JobState job : List.copyOf(state.jobs.values())) {
            for (String worker : job.leaseNotes.keySet()) {
                Optional.ofNullable(state.workers.get(worker)).ifPresent(known -> known.notedIn.add(job));
                state.markDirty(job, nowMillis, true);
            }
        }
    }

    /**
     * Returns for how long the lease of a worker may last by the notes of an earlier owner, in milliseconds, empty if there are none.
     */
    static OptionalLong inheritedMillis(PoolWorker worker) {
        return worker.notedIn.stream()
                .mapToLong(job -> job.leaseNotes.get(worker.id))
                .min();
    }

    /**
     * Has the notes about a worker written, or written anew with less time left, if it is to have some because a call was not
     * answered.
     */
    void update(PoolWorker worker, long nowMillis) {
        if (isNoted(worker)) {
            Set<JobState> jobs = new HashSet<>(worker.notedIn);
            worker.runs.values().forEach(run -> jobs.add(run.job()));
            markDirty(jobs, nowMillis);
        }
    }

    /**
     * Has the notes about a worker removed, as it has answered or its runs have ended.
     */
    void remove(PoolWorker worker, long nowMillis) {
        worker.notedIn.removeIf(job -> state.jobs.get(job.spec.id()) != job);
        markDirty(worker.notedIn, nowMillis);
    }

    private void markDirty(Set<JobState> jobs, long nowMillis) {
        for (JobState job : jobs) {
            if (state.jobs.get(job.spec.id()) == job) {
                state.markDirty(job, nowMillis, true);
            }
        }
    }

    /**
     * Returns the notes that a job is to contain, by worker, and records that they may be stored from now on.
     */
    Map<String, Long> write(JobState job, long nowMillis) {
        Map<String, Long> notes = new HashMap<>();
        if (!job.phase.ended() && state.workers.values().stream().anyMatch(LeaseNotes::isNoted)) {
            job.openOccurrences().stream()
                    .flatMap(occurrence -> List.of(occurrence.steps).stream())
                    .flatMap(step -> List.of(step.tasks).stream())
                    .forEach(task -> addNotes(task, notes, nowMillis));
        }
        notes.keySet().forEach(worker -> state.workers.get(worker).notedIn.add(job));
        return Map.copyOf(notes);
    }

    private void addNotes(JobTaskState task, Map<String, Long> notes, long nowMillis) {
        if (task.done) {
            return;
        }
        task.runs.forEach(run -> addNote(run.worker.id, notes, nowMillis));
        task.unreportedRuns.forEach(run -> addNote(run.worker(), notes, nowMillis));
    }

    private void addNote(String workerId, Map<String, Long> notes, long nowMillis) {
        PoolWorker worker = state.workers.get(workerId);
        if (worker != null && isNoted(worker)) {
            notes.put(workerId, Math.max(0, worker.lease.expiryMillis() - nowMillis));
        }
    }

    /**
     * Applies that a job is stored with notes about some workers only.
     */
    void stored(JobState job, Set<String> notedWorkers) {
        for (PoolWorker worker : state.workers.values()) {
            if (!notedWorkers.contains(worker.id)) {
                worker.notedIn.remove(job);
            }
        }
    }

    private static boolean isNoted(PoolWorker worker) {
        if (!worker.fenced) {
            return !worker.notedIn.isEmpty();
        }
        return worker.missedCalls > 0
                && !worker.runs.isEmpty()
                && worker.runs.values().stream().noneMatch(Run::isConfirmed);
    }
}
