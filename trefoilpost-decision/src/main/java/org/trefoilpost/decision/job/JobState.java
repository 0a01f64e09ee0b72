package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The state of a job of the pool. Fields with {@code Wall} in their names hold times since 1970, other times are those
 * of the steady clock.
 */
final class JobState {
    /** Replaced only while the job is decoded, as its team is the last element of the stored document. */
    JobSpec spec;

    final Map<Integer, OccurrenceState> occurrences = new TreeMap<>();
    QueueConfig queue;
    JobPhase phase = JobPhase.QUEUED;
    /** True if a worker has said that it began a task. An open job is running if so, else queued. */
    boolean begun;

    long submittedMillis;
    long submittedWallMillis;
    long endedWallMillis;
    /** When the end of the job was stored, or as long ago as the store says; only for a job whose end is stored. */
    long endStoredMillis;
    /** The time after its submission within which this owner expected to complete the job when it accepted it. */
    OptionalLong objectiveMillis = OptionalLong.empty();

    int nextOccurrence;
    int endedOccurrences;
    /** The number of changes of the tasks' crash records. */
    int crashChanges;
    /** The number of changes of the tasks' crash records that are stored. */
    int storedCrashChanges;

    /** True if an earlier owner had this job: it may have given orders that the stored document does not name. */
    boolean inherited;
    /** How long the leases of silent workers last at the latest, by worker, in milliseconds from the last writing. */
    Map<String, Long> leaseNotes = Map.of();

    boolean stored;
    JobPhase storedPhase = JobPhase.QUEUED;
    boolean dirty;
    long dirtySinceMillis;
    boolean urgent;

    JobState(JobSpec spec, QueueConfig queue, Moment submitted) {
        this.spec = spec;
        this.queue = queue;
        this.submittedMillis = submitted.steadyMillis();
        this.submittedWallMillis = submitted.wallMillis();
    }

    /**
     * Returns the phase to report to callers: an end is reported only once it is stored.
     */
    JobPhase reportedPhase() {
        if (phase.ended() && storedPhase != phase) {
            return openPhase();
        }
        return phase;
    }

    /**
     * Returns the phase that the job has, or had, as long as it has not ended.
     */
    JobPhase openPhase() {
        return begun ? JobPhase.RUNNING : JobPhase.QUEUED;
    }

    /**
     * Returns whether stored progress shows that a worker has begun a task.
     */
    boolean hasProgress() {
        return endedOccurrences > 0
                || openOccurrences().stream()
                        .flatMap(occurrence -> Stream.of(occurrence.steps))
                        .anyMatch(JobStepState::hasProgress);
    }

    Collection<OccurrenceState> openOccurrences() {
        return occurrences.values();
    }

    /**
     * Creates the occurrences that have become due. If together they have more tasks than one may have, the others wait until
     * earlier ones have ended.
     */
    void openDueOccurrences(Moment now) {
        while (!phase.ended()
                && nextOccurrence < spec.schedule().count()
                && isDue(nextOccurrence, now)
                && mayOpenAnother()) {
            openNext(now);
        }
    }

    private void openNext(Moment now) {
        OccurrenceState occurrence = new OccurrenceState(this, nextOccurrence);
        occurrences.put(nextOccurrence, occurrence);
        occurrence.advance(now.steadyMillis());
        nextOccurrence++;
    }

    /**
     * Creates the occurrences up to one of which a worker reports a run: an earlier owner has opened them, by its own clock and
     * after ends that it had not stored.
     *
     * @return false if the occurrence cannot be one that the earlier owner had open
     */
    boolean openReported(int number, Moment now) {
        long opened = number - (long) nextOccurrence + 1;
        boolean plausible = inherited
                && !phase.ended()
                && opened > 0
                && number < spec.schedule().count()
                && (opened == 1 || opened * spec.taskCount() <= JobSpec.MAX_TASKS);
        if (!plausible) {
            return false;
        }
        while (nextOccurrence <= number) {
            openNext(now);
        }
        return true;
    }

    private boolean isDue(int number, Moment now) {
        return !spec.schedule().timed() || spec.schedule().dueMillis(number) <= now.wallMillis();
    }

    private boolean mayOpenAnother() {
        return occurrences.isEmpty() || (occurrences.size() + 1) * spec.taskCount() <= JobSpec.MAX_TASKS;
    }

    /**
     * Removes an occurrence whose tasks have all completed.
     */
    void close(OccurrenceState occurrence) {
        occurrences.remove(occurrence.number);
        endedOccurrences++;
    }

    boolean allOccurrencesEnded() {
        return endedOccurrences >= spec.schedule().count();
    }

    void markDirty(long nowMillis, boolean commitAtOnce) {
        if (!dirty) {
            dirtySinceMillis = nowMillis;
        }
        dirty = true;
        urgent |= commitAtOnce;
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
