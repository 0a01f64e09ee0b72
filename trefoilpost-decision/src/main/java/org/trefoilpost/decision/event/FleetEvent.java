package org.trefoilpost.decision.event;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * A record of something that the system did by itself, refused or gave up, with its cause and figures.
 */
public final class FleetEvent {
    /** The most characters of the cause and of the figures; longer texts are cut. */
    public static final int MAX_TEXT_LENGTH = 512;

    private final FleetEventKind kind;
    private final long atMillis;
    private final String cause;
    private final String figures;
    private final Optional<PlanDigest> plan;
    private final Optional<PoolName> pool;
    private final Optional<WorkerId> worker;

    private FleetEvent(Builder builder) {
        this.kind = Objects.requireNonNull(builder.kind, "kind");
        this.atMillis = builder.atMillis;
        this.cause = truncate(builder.cause);
        this.figures = truncate(builder.figures);
        this.plan = builder.plan;
        this.pool = builder.pool;
        this.worker = builder.worker;
    }

    private static String truncate(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }

    /**
     * Returns a builder of an event.
     *
     * @param kind  the kind, not null
     * @param atMillis  when it happened, in milliseconds since the Unix epoch
     * @param cause  why it happened, not null
     * @return the builder, not null
     */
    public static Builder builder(FleetEventKind kind, long atMillis, String cause) {
        return new Builder(kind, atMillis, cause);
    }

    /**
     * Returns the kind.
     *
     * @return the kind, not null
     */
    public FleetEventKind kind() {
        return kind;
    }

    /**
     * Returns when it happened.
     *
     * @return the time in milliseconds since the Unix epoch
     */
    public long atMillis() {
        return atMillis;
    }

    /**
     * Returns why it happened.
     *
     * @return the cause, not null
     */
    public String cause() {
        return cause;
    }

    /**
     * Returns the figures that it was decided from.
     *
     * @return the figures, not null, empty if there are none
     */
    public String figures() {
        return figures;
    }

    /**
     * Returns the plan.
     *
     * @return the digest, not null, empty if no plan is concerned
     */
    public Optional<PlanDigest> plan() {
        return plan;
    }

    /**
     * Returns the pool.
     *
     * @return the pool, not null, empty if no single pool is concerned
     */
    public Optional<PoolName> pool() {
        return pool;
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null, empty if no single worker is concerned
     */
    public Optional<WorkerId> worker() {
        return worker;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof FleetEvent other
                && other.kind == kind
                && other.atMillis == atMillis
                && other.cause.equals(cause)
                && other.figures.equals(figures)
                && other.plan.equals(plan)
                && other.pool.equals(pool)
                && other.worker.equals(worker);
    }

    @Override
    public int hashCode() {
        return Objects.hash(kind, atMillis, cause, plan, pool, worker);
    }

    /**
     * Returns the kind, the subject and the cause.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind.code() + worker.map(name -> " " + name).orElse("")
                + pool.map(name -> " of " + name).orElse("") + ": " + cause;
    }

    /**
     * Builder of events.
     */
    public static final class Builder {
        private final FleetEventKind kind;
        private final long atMillis;
        private final String cause;
        private String figures = "";
        private Optional<PlanDigest> plan = Optional.empty();
        private Optional<PoolName> pool = Optional.empty();
        private Optional<WorkerId> worker = Optional.empty();

        private Builder(FleetEventKind kind, long atMillis, String cause) {
            this.kind = kind;
            this.atMillis = atMillis;
            this.cause = Objects.requireNonNull(cause, "cause");
        }

        /**
         * Sets the figures that it was decided from.
         *
         * @param newFigures  the figures, not null
         * @return this builder, not null
         */
        public Builder figures(String newFigures) {
            this.figures = Objects.requireNonNull(newFigures, "figures");
            return this;
        }

        /**
         * Sets the plan.
         *
         * @param newPlan  the digest, not null
         * @return this builder, not null
         */
        public Builder plan(PlanDigest newPlan) {
            this.plan = Optional.of(newPlan);
            return this;
        }

        /**
         * Sets the pool.
         *
         * @param newPool  the pool, not null
         * @return this builder, not null
         */
        public Builder pool(PoolName newPool) {
            this.pool = Optional.of(newPool);
            return this;
        }

        /**
         * Sets the worker.
         *
         * @param newWorker  the worker, not null
         * @return this builder, not null
         */
        public Builder worker(WorkerId newWorker) {
            this.worker = Optional.of(newWorker);
            return this;
        }

        /**
         * Builds the event.
         *
         * @return the event, not null
         */
        public FleetEvent build() {
            return new FleetEvent(this);
        }
    }
}
