package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Objects;

/**
 * What a step of a job asks for.
 */
public final class StepSpec {
    private final Builder values;

    private StepSpec(Builder values) {
        this.values = values;
    }

    /**
     * Obtains a builder of a step with one task and no requirements.
     *
     * @return the builder, not null
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the number of tasks.
     *
     * @return the number, positive
     */
    public int count() {
        return values.count;
    }

    /**
     * Returns what each task asks for.
     *
     * @return the demand, not null
     */
    public ResourceAmount demand() {
        return values.demand;
    }

    /**
     * Returns what each task takes of a worker's capacity.
     *
     * @return the demand, without the processor share for a step that fills, not null
     */
    public ResourceAmount reservedDemand() {
        return values.bestEffort ? values.demand.withoutCpu() : values.demand;
    }

    /**
     * Returns the declared duration of a task.
     *
     * @return the duration in milliseconds, 0 if it is not declared
     */
    public long estimateMillis() {
        return values.estimateMillis;
    }

    /**
     * Returns the numbers of the steps that must end before.
     *
     * @return the unmodifiable list, not null
     */
    public List<Integer> after() {
        return values.after;
    }

    /**
     * Returns the label that a worker must have.
     *
     * @return the label, without text if none is required, not null
     */
    public String requiredLabel() {
        return values.requiredLabel;
    }

    /**
     * Returns whether a worker with some labels may run the tasks.
     *
     * @param labels  the worker's labels, not null
     * @return true if no label is required, or the required one is among them
     */
    public boolean allowsLabels(List<String> labels) {
        return values.requiredLabel.isEmpty() || labels.contains(values.requiredLabel);
    }

    /**
     * Returns the rack near which the tasks are fast.
     *
     * @return the rack's label, without text if there is none, not null
     */
    public String preferredRack() {
        return values.preferredRack;
    }

    /**
     * Returns the most tasks of the step that may run on one worker.
     *
     * @return the number, 0 if there is no limit
     */
    public int maxPerWorker() {
        return values.maxPerWorker;
    }

    /**
     * Returns how many tasks may be away at the same time because of the system's own actions.
     *
     * @return the number, not negative
     */
    public int maxUnavailable() {
        return values.maxUnavailable;
    }

    /**
     * Returns the bound on the response time of the tasks' own users.
     *
     * @return the bound in milliseconds, 0 if there is none
     */
    public long targetMillis() {
        return values.targetMillis;
    }

    /**
     * Returns the name of the image that the tasks run.
     *
     * @return the name, without text if it is not declared, not null
     */
    public String image() {
        return values.image;
    }

    /**
     * Returns whether tasks save their progress.
     *
     * @return true if they do
     */
    public boolean checkpointing() {
        return values.checkpointing;
    }

    /**
     * Returns whether the tasks work only together.
     *
     * @return true if they do
     */
    public boolean gang() {
        return values.gang;
    }

    /**
     * Returns whether the tasks are slow unless they share a rack.
     *
     * @return true if they are
     */
    public boolean sameRack() {
        return values.sameRack;
    }

    /**
     * Returns whether copies of a task may run at the same time.
     *
     * @return true if they may
     */
    public boolean speculative() {
        return values.speculative;
    }

    /**
     * Returns whether the tasks run until the job is cancelled.
     *
     * @return true if they do
     */
    public boolean longRunning() {
        return values.longRunning;
    }

    /**
     * Returns whether the tasks take only the capacity that others leave unused.
     *
     * @return true if they do
     */
    public boolean bestEffort() {
        return values.bestEffort;
    }

    /**
     * Builds steps.
     */
    public static final class Builder {
        private int count = 1;
        private ResourceAmount demand = ResourceAmount.NONE;
        private long estimateMillis;
        private List<Integer> after = List.of();
        private String requiredLabel = "";
        private String preferredRack = "";
        private int maxPerWorker;
        private int maxUnavailable;
        private long targetMillis;
        private String image = "";
        private boolean checkpointing;
        private boolean gang;
        private boolean sameRack;
        private boolean speculative;
        private boolean longRunning;
        private boolean bestEffort;

        private Builder() {}

        /**
         * Sets the size of the step.
         *
         * @param tasks  the number of tasks
         * @param taskDemand  what each task asks for, not null
         * @return this, not null
         */
        public Builder tasks(int tasks, ResourceAmount taskDemand) {
            this.count = tasks;
            this.demand = Objects.requireNonNull(taskDemand, "taskDemand");
            return this;
        }

        /**
         * Sets the declared duration of a task.
         *
         * @param millis  the duration in milliseconds
         * @return this, not null
         */
        public Builder estimateMillis(long millis) {
            this.estimateMillis = millis;
            return this;
        }

        /**
         * Sets the steps that must end before.
         *
         * @param steps  the numbers of the steps, not null
         * @return this, not null
         */
        public Builder after(List<Integer> steps) {
            this.after = List.copyOf(steps);
            return this;
        }

        /**
         * Sets where tasks may run.
         *
         * @param label  the label that a worker must have, not null
         * @param rack  the rack near which the tasks are fast, not null
         * @param most  the most tasks on one worker, 0 for no limit
         * @return this, not null
         */
        public Builder placement(String label, String rack, int most) {
            this.requiredLabel = Objects.requireNonNull(label, "label");
            this.preferredRack = Objects.requireNonNull(rack, "rack");
            this.maxPerWorker = most;
            return this;
        }

        /**
         * Sets what serving tasks promise.
         *
         * @param name  the image, not null
         * @param millis  the bound on the response time in milliseconds, 0 for none
         * @param missing  how many tasks may be away at the same time
         * @return this, not null
         */
        public Builder service(String name, long millis, int missing) {
            this.image = Objects.requireNonNull(name, "name");
            this.targetMillis = millis;
            this.maxUnavailable = missing;
            return this;
        }

        /**
         * Sets whether tasks save their progress.
         *
         * @param value  true if they do
         * @return this, not null
         */
        public Builder checkpointing(boolean value) {
            this.checkpointing = value;
            return this;
        }

        /**
         * Sets whether the tasks work only together.
         *
         * @param together  true if they do
         * @param oneRack  true if they are slow unless they share a rack
         * @return this, not null
         */
        public Builder gang(boolean together, boolean oneRack) {
            this.gang = together;
            this.sameRack = oneRack;
            return this;
        }

        /**
         * Sets whether copies of a task may run at the same time.
         *
         * @param value  true if they may
         * @return this, not null
         */
        public Builder speculative(boolean value) {
            this.speculative = value;
            return this;
        }

        /**
         * Sets whether the tasks run until the job is cancelled.
         *
         * @param value  true if they do
         * @return this, not null
         */
        public Builder longRunning(boolean value) {
            this.longRunning = value;
            return this;
        }

        /**
         * Sets whether the tasks take only the capacity that others leave unused.
         *
         * @param value  true if they do
         * @return this, not null
         */
        public Builder bestEffort(boolean value) {
            this.bestEffort = value;
            return this;
        }

        /**
         * Builds the step.
         *
         * @return the step, not null
         */
        public StepSpec build() {
            Builder copy = new Builder();
            copy.count = count;
            copy.demand = demand;
            copy.estimateMillis = estimateMillis;
            copy.after = after;
            copy.requiredLabel = requiredLabel;
            copy.preferredRack = preferredRack;
            copy.maxPerWorker = maxPerWorker;
            copy.maxUnavailable = maxUnavailable;
            copy.targetMillis = targetMillis;
            copy.image = image;
            copy.checkpointing = checkpointing;
            copy.gang = gang;
            copy.sameRack = sameRack;
            copy.speculative = speculative;
            copy.longRunning = longRunning;
            copy.bestEffort = bestEffort;
            return new StepSpec(copy);
        }
    }
}
