package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * A job of the pool.
 */
final class JobState {
    final JobSpec spec;
    final Map<Integer, OccurrenceState> occurrences = new TreeMap<>();
    QueueConfig queue;
    JobPhase phase = JobPhase.QUEUED;
    long submittedMillis;
    long submittedWallMillis;
    long endedWallMillis;
    int nextOccurrence;
    int endedOccurrences;
    boolean stored;
    JobPhase storedPhase = JobPhase.QUEUED;
    boolean dirty;
    long dirtySinceMillis;
    boolean urgent;

    JobState(JobSpec spec, QueueConfig queue, Moment offered) {
        this.spec = spec;
        this.queue = queue;
        this.submittedMillis = offered.steadyMillis();
        this.submittedWallMillis = offered.wallMillis();
    }

    Collection<OccurrenceState> openOccurrences() {
        return occurrences.values();
    }

    /**
     * Opens the occurrences that are due.
     */
    void openDueOccurrences(Moment now) {
        while (!phase.ended() && nextOccurrence < spec.schedule().count() && isDue(nextOccurrence, now)) {
            OccurrenceState occurrence = new OccurrenceState(this, nextOccurrence);
            occurrences.put(nextOccurrence, occurrence);
            occurrence.advance(now.steadyMillis());
            nextOccurrence++;
        }
    }

    private boolean isDue(int number, Moment now) {
        return !spec.schedule().timed() || spec.schedule().dueMillis(number) <= now.wallMillis();
    }

    /**
     * Closes an occurrence whose tasks have all ended well.
     */
    void close(OccurrenceState occurrence) {
        occurrences.remove(occurrence.number);
        endedOccurrences++;
    }

    boolean allOccurrencesEnded() {
        return endedOccurrences >= spec.schedule().count();
    }

    void markDirty(long nowMillis, boolean atOnce) {
        if (!dirty) {
            dirtySinceMillis = nowMillis;
        }
        dirty = true;
        urgent |= atOnce;
    }

    JobTaskState task(TaskId id) {
        OccurrenceState occurrence = occurrences.get(id.occurrence());
        if (occurrence == null || id.step() < 0 || id.step() >= occurrence.steps.length) {
            return null;
        }
        JobTaskState[] tasks = occurrence.steps[id.step()].tasks;
        return id.index() >= 0 && id.index() < tasks.length ? tasks[id.index()] : null;
    }
}
