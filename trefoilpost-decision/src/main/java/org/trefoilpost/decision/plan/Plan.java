package org.trefoilpost.decision.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.trefoilpost.model.PoolName;

/**
 * The steps that carry out an intent. An operator confirms a plan by its digest before any step runs.
 *
 * <p>The batches run one after another; the steps of a batch run concurrently.
 */
public final class Plan {
    /** The document format that is written, and the newest one that can be read. */
    public static final int FORMAT = 1;
    /** The most steps of a plan. Keeps the document with the states of all steps below the platform's size limit. */
    public static final int MAX_STEPS = 2_500;

    private final Intent intent;
    private final PlanVersions versions;
    private final long createdMillis;
    private final List<PlanBatch> batches;
    private final PlanMeasures measures;
    private final PlanMeasures lowerBounds;
    private final List<PlanRefusal> refusals;
    private final Map<Integer, PlanStep> stepsByNumber;
    private final PlanDigest digest;

    private Plan(Builder builder) {
        this.intent = Objects.requireNonNull(builder.intent, "intent");
        this.versions = Objects.requireNonNull(builder.versions, "versions");
        this.createdMillis = builder.createdMillis;
        this.batches = List.copyOf(builder.batches);
        this.measures = Objects.requireNonNull(builder.measures, "measures");
        this.lowerBounds = Objects.requireNonNull(builder.lowerBounds, "lowerBounds");
        this.refusals = List.copyOf(builder.refusals);
        this.stepsByNumber = new HashMap<>();
        steps().forEach(step -> stepsByNumber.put(step.number(), step));
        this.digest = PlanDigest.of(PlanCodec.encode(this));
    }

    /**
     * Returns a builder of a plan without batches.
     *
     * @param intent  the intent, not null
     * @param versions  the versions of the documents that the plan is computed from, not null
     * @param createdMillis  when the plan is computed, in milliseconds since the Unix epoch
     * @return the builder, not null
     */
    public static Builder builder(Intent intent, PlanVersions versions, long createdMillis) {
        return new Builder(intent, versions, createdMillis);
    }

    /**
     * Returns the intent.
     *
     * @return the intent, not null
     */
    public Intent intent() {
        return intent;
    }

    /**
     * Returns the versions of the documents that the plan was computed from.
     *
     * @return the versions, not null
     */
    public PlanVersions versions() {
        return versions;
    }

    /**
     * Returns when the plan was computed.
     *
     * @return the time in milliseconds since the Unix epoch
     */
    public long createdMillis() {
        return createdMillis;
    }

    /**
     * Returns the batches in the order in which they run.
     *
     * @return the batches, unmodifiable, not null
     */
    public List<PlanBatch> batches() {
        return batches;
    }

    /**
     * Returns the expected cost of the plan.
     *
     * @return the measures, not null
     */
    public PlanMeasures measures() {
        return measures;
    }

    /**
     * Returns a lower bound of each measure. One plan may not reach all of them at once.
     *
     * @return the lower bounds, not null
     */
    public PlanMeasures lowerBounds() {
        return lowerBounds;
    }

    /**
     * Returns the requested changes that the plan leaves out, each with its reason.
     *
     * @return the refusals, unmodifiable, not null, may be empty
     */
    public List<PlanRefusal> refusals() {
        return refusals;
    }

    /**
     * Returns the digest of the canonical JSON.
     *
     * @return the digest, not null
     */
    public PlanDigest digest() {
        return digest;
    }

    /**
     * Returns the steps of all batches, in the order of the batches.
     *
     * @return the steps, not null
     */
    public Stream<PlanStep> steps() {
        return batches.stream().flatMap(batch -> batch.steps().stream());
    }

    /**
     * Finds a step by its number.
     *
     * @param number  the number of the step
     * @return the step, not null, empty if the plan has none with the number
     */
    public Optional<PlanStep> step(int number) {
        return Optional.ofNullable(stepsByNumber.get(number));
    }

    /**
     * Returns the pools that a step takes a worker from or adds one to.
     *
     * @return the pools, not null
     */
    public Set<PoolName> touchedPools() {
        Set<PoolName> pools = new TreeSet<>();
        steps().forEach(step -> {
            pools.add(step.pool());
            step.target().ifPresent(pools::add);
        });
        return pools;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Plan other && other.digest.equals(digest);
    }

    @Override
    public int hashCode() {
        return digest.hashCode();
    }

    /**
     * Returns the intent, the batches and the measures.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return intent + ": " + batches + ", " + measures;
    }

    /**
     * Builds plans.
     */
    public static final class Builder {
        private final Intent intent;
        private final PlanVersions versions;
        private final long createdMillis;
        private List<PlanBatch> batches = List.of();
        private PlanMeasures measures = PlanMeasures.ZERO;
        private PlanMeasures lowerBounds = PlanMeasures.ZERO;
        private List<PlanRefusal> refusals = List.of();

        private Builder(Intent intent, PlanVersions versions, long createdMillis) {
            this.intent = intent;
            this.versions = versions;
            this.createdMillis = createdMillis;
        }

        /**
         * Sets the batches.
         *
         * @param newBatches  the batches in the order in which they run, not null
         * @return this builder, not null
         */
        public Builder batches(List<PlanBatch> newBatches) {
            this.batches = newBatches;
            return this;
        }

        /**
         * Sets the expected measures and their lower bounds.
         *
         * @param newMeasures  the measures, not null
         * @param newLowerBounds  the lower bounds, not null
         * @return this builder, not null
         */
        public Builder measures(PlanMeasures newMeasures, PlanMeasures newLowerBounds) {
            this.measures = newMeasures;
            this.lowerBounds = newLowerBounds;
            return this;
        }

        /**
         * Sets the requested changes that the plan leaves out.
         *
         * @param newRefusals  the refusals, each with its reason, not null
         * @return this builder, not null
         */
        public Builder refusals(List<PlanRefusal> newRefusals) {
            this.refusals = newRefusals;
            return this;
        }

        /**
         * Builds the plan and computes its digest.
         *
         * @return the plan, not null
         */
        public Plan build() {
            return new Plan(this);
        }
    }
}
