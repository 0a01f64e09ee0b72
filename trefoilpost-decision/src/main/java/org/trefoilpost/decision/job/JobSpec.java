package org.trefoilpost.decision.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a caller handed in as a job.
 *
 * @param id  the caller's identifier of the job, not null
 * @param queue  the name of the queue, not null
 * @param text  the text that workers are given with each task, not null
 * @param steps  the steps, not null
 * @param schedule  when the steps run, not null
 */
public record JobSpec(String id, String queue, String text, List<StepSpec> steps, Schedule schedule) {
    /** The most bytes that the text of a job may have. */
    public static final int MAX_TEXT_BYTES = 4_000;

    /** The most tasks that an occurrence of a job may have. */
    public static final int MAX_TASKS = 10_000;

    /**
     * Constructs a job.
     */
    public JobSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(schedule, "schedule");
        steps = List.copyOf(steps);
    }

    /**
     * Finds what makes this job impossible to carry out.
     *
     * @return the first fault, empty if there is none, not null
     */
    public Optional<String> fault() {
        if (steps.isEmpty()) {
            return Optional.of("a job needs a step");
        }
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            return Optional.of("the text has more than " + MAX_TEXT_BYTES + " bytes");
        }
        int tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            if (step.count() < 1 || (tasks += step.count()) > MAX_TASKS) {
                return Optional.of("step " + i + " has a wrong number of tasks");
            }
            for (int earlier : step.after()) {
                if (earlier < 0 || earlier >= i) {
                    return Optional.of("step " + i + " waits for step " + earlier + ", which is not an earlier one");
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a step of this job runs until the job is cancelled.
     *
     * @return true if a step does
     */
    public boolean longRunning() {
        return steps.stream().anyMatch(StepSpec::longRunning);
    }

    /**
     * When the steps of a job run.
     *
     * @param firstMillis  the time of the first occurrence in milliseconds since 1970
     * @param intervalMillis  the time between occurrences in milliseconds
     * @param occurrences  the number of occurrences, 0 for a job that runs once and at once
     */
    public record Schedule(long firstMillis, long intervalMillis, int occurrences) {
        /** The schedule of a job that runs once and at once. */
        public static final Schedule ONCE = new Schedule(0, 0, 0);

        /**
         * Returns whether occurrences wait for a time of day.
         *
         * @return true if they do
         */
        public boolean timed() {
            return occurrences > 0;
        }

        /**
         * Returns how many times the steps run.
         *
         * @return the number, positive
         */
        public int count() {
            return Math.max(1, occurrences);
        }

        /**
         * Returns when an occurrence is due.
         *
         * @param occurrence  the number of the occurrence, from 0
         * @return the time in milliseconds since 1970
         */
        public long dueMillis(int occurrence) {
            return firstMillis + occurrence * intervalMillis;
        }
    }
}
