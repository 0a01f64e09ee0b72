package org.trefoilpost.decision.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Identifies a task.
 *
 * @param job  the identifier of the task's job, not null
 * @param occurrence  the number of the scheduled occurrence, 0 for a job without a schedule
 * @param step  the number of the step, from 0
 * @param index  the number of the task in its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /**
     * Constructs an identifier.
     */
    public TaskId {
        Objects.requireNonNull(job, "job");
    }

    /**
     * Parses the text form {@code JOB.OCCURRENCE.STEP.INDEX}.
     *
     * @param text  the text, not null
     * @return the identifier, empty if the text is not a task identifier, not null
     */
    public static Optional<TaskId> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS || parts[0].isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskId(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text form, {@code JOB.OCCURRENCE.STEP.INDEX}.
     *
     * @return the text, not null
     */
    public String text() {
        return job + '.' + occurrence + '.' + step + '.' + index;
    }
}
