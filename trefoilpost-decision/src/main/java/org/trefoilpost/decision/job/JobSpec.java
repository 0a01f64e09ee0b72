package org.trefoilpost.decision.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A job as specified by the caller.
 *
 * @param id  the caller's identifier of the job, not null
 * @param queue  the name of the queue, not null
 * @param text  the payload that workers receive with each task, may be empty, not null
 * @param steps  the steps, in an order in which each follows its predecessors, not null
 * @param schedule  when the steps run, not null
 * @param team  the name of the team that submitted the job, empty if it belongs to no team, not null
 */
public record JobSpec(
        String id, String queue, String text, List<StepSpec> steps, Schedule schedule, Optional<String> team) {
    /** The maximum size of the text of a job in UTF-8. */
    public static final int MAX_TEXT_BYTES = 4_000;

    /** The maximum number of tasks in an occurrence of a job, and in all its occurrences that run at the same time. */
    public static final int MAX_TASKS = 10_000;

    /** The maximum of each resource that a task may ask for, so that sums over all jobs of a pool do not overflow. */
    public static final long MAX_TASK_RESOURCE = 1_000_000_000;

    /** The maximum of a declared duration and of a target in milliseconds, about a year. */
    public static final long MAX_DURATION_MILLIS = 31_536_000_000L;

    /** The latest time at which an occurrence may be due in milliseconds since 1970, the end of the year 9999. */
    public static final long MAX_DUE_MILLIS = 253_402_300_799_999L;

    /** What can be part of a key of the store and of the name of a task. */
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9_-]{1,64}");

    /**
     * Constructs a specification without validating it; see {@link #fault()}.
     */
    public JobSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(schedule, "schedule");
        Objects.requireNonNull(team, "team");
        steps = List.copyOf(steps);
    }

    /**
     * Constructs the specification of a job that belongs to no team.
     *
     * @param id  the caller's identifier of the job, not null
     * @param queue  the name of the queue, not null
     * @param text  the payload that workers receive with each task, may be empty, not null
     * @param steps  the steps, in an order in which each follows its predecessors, not null
     * @param schedule  when the steps run, not null
     */
    public JobSpec(String id, String queue, String text, List<StepSpec> steps, Schedule schedule) {
        this(id, queue, text, steps, schedule, Optional.empty());
    }

    /**
     * Returns a copy of this specification that belongs to a team.
     *
     * @param newTeam  the name of the team, empty for none, not null
     * @return the copy, not null
     */
    public JobSpec withTeam(Optional<String> newTeam) {
        return new JobSpec(id, queue, text, steps, schedule, newTeam);
    }

    /**
     * Validates this job.
     *
     * @return a description of the first fault, empty if there is none, not null
     */
    public Optional<String> fault() {
        if (!ID.matcher(id).matches()) {
            return Optional.of("the job's identifier must have 1 to 64 letters, digits, hyphens and underscores");
        }
        if (steps.isEmpty()) {
            return Optional.of("the job has no steps");
        }
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            return Optional.of("the job text has more than " + MAX_TEXT_BYTES + " bytes");
        }
        Optional<String> structuralFault = structuralFault();
        if (structuralFault.isPresent()) {
            return structuralFault;
        }
        for (int i = 0; i < steps.size(); i++) {
            Optional<String> excess = excess(steps.get(i));
            if (excess.isPresent()) {
                return Optional.of("step " + i + " " + excess.get());
            }
        }
        return schedule.isDueTooLate()
                ? Optional.of("an occurrence is due later than " + MAX_DUE_MILLIS + " ms after 1970")
                : Optional.empty();
    }

    /**
     * Returns a fault of the steps that prevents the creation of their state, empty if there is none.
     */
    Optional<String> structuralFault() {
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            tasks += step.count();
            if (step.count() < 1 || tasks > MAX_TASKS) {
                return Optional.of("step " + i + " has " + step.count() + " tasks, expected at least 1 and at most "
                        + MAX_TASKS + " in all steps");
            }
            for (int earlier : step.after()) {
                if (earlier < 0 || earlier >= i) {
                    return Optional.of("step " + i + " follows step " + earlier + ", which is not an earlier step");
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the number of tasks in an occurrence.
     *
     * @return the number, not negative
     */
    public long taskCount() {
        return steps.stream().mapToLong(StepSpec::count).sum();
    }

    private static Optional<String> excess(StepSpec step) {
        ResourceAmount demand = step.demand();
        if (!demand.fitsIn(new ResourceAmount(MAX_TASK_RESOURCE, MAX_TASK_RESOURCE, MAX_TASK_RESOURCE))) {
            return Optional.of("asks for more than " + MAX_TASK_RESOURCE + " of a resource for a task");
        }
        return Math.max(step.estimateMillis(), step.targetMillis()) > MAX_DURATION_MILLIS
                ? Optional.of("has a duration or a target of more than " + MAX_DURATION_MILLIS + " ms")
                : Optional.empty();
    }

    /**
     * Returns whether a step of this job runs until the job is cancelled.
     *
     * @return true if a step is long-running
     */
    public boolean longRunning() {
        return steps.stream().anyMatch(StepSpec::longRunning);
    }

    /**
     * Returns whether this job is to be completed soon after its submission: it neither lasts nor waits for its times.
     *
     * @return true if the job is neither long-running nor scheduled
     */
    public boolean onDemand() {
        return !longRunning() && !schedule.timed();
    }

    /**
     * The schedule of a job.
     *
     * @param firstMillis  the due time of the first occurrence in milliseconds since 1970
     * @param intervalMillis  the time between occurrences in milliseconds
     * @param occurrences  the number of occurrences, 0 for a job that runs once and immediately
     */
    public record Schedule(long firstMillis, long intervalMillis, int occurrences) {
        /** The schedule of a job that runs once and immediately. */
        public static final Schedule ONCE = new Schedule(0, 0, 0);

        /**
         * Returns whether occurrences wait for their due times.
         *
         * @return true if the job has scheduled occurrences
         */
        public boolean timed() {
            return occurrences > 0;
        }

        /**
         * Returns the number of occurrences, 1 for a job without a schedule.
         *
         * @return the number, positive
         */
        public int count() {
            return Math.max(1, occurrences);
        }

        private boolean isDueTooLate() {
            if (!timed()) {
                return false;
            }
            return firstMillis > MAX_DUE_MILLIS
                    || occurrences > 1 && intervalMillis > (MAX_DUE_MILLIS - firstMillis) / (occurrences - 1);
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
