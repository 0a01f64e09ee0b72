package org.trefoilpost.decision.job;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.worker.Resources;

/**
 * What a caller submits: a job with its declared size and run time, which are hints.
 */
public final class JobSpec {
    private final JobId id;
    private final PoolName pool;
    private final TeamName team;
    private final RequestClass requestClass;
    private final String kind;
    private final Resources resources;
    private final long runMillis;
    private final Optional<Long> deadlineMillis;
    private final boolean checkpointable;

    private JobSpec(Builder builder) {
        this.id = Objects.requireNonNull(builder.id, "id");
        this.pool = Objects.requireNonNull(builder.pool, "pool");
        this.team = Objects.requireNonNull(builder.team, "team");
        this.requestClass = Objects.requireNonNull(builder.requestClass, "requestClass");
        this.kind = Objects.requireNonNull(builder.kind, "kind");
        this.resources = Objects.requireNonNull(builder.resources, "resources");
        this.runMillis = builder.runMillis;
        this.deadlineMillis = Objects.requireNonNull(builder.deadlineMillis, "deadlineMillis");
        this.checkpointable = builder.checkpointable;
    }

    /**
     * Returns a builder of a normal job that declares no resources.
     *
     * @param id  the name of the job, not null
     * @return the builder, not null
     */
    public static Builder builder(JobId id) {
        return new Builder(id);
    }

    /**
     * Returns the name of the job.
     *
     * @return the name of the job, not null
     */
    public JobId id() {
        return id;
    }

    /**
     * Returns the pool whose workers run it.
     *
     * @return the pool whose workers run it, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the team it belongs to.
     *
     * @return the team it belongs to, not null
     */
    public TeamName team() {
        return team;
    }

    /**
     * Returns how urgent it is.
     *
     * @return how urgent it is, not null
     */
    public RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns its kind, which learned corrections are kept by.
     *
     * @return its kind, which learned corrections are kept by, not null
     */
    public String kind() {
        return kind;
    }

    /**
     * Returns the declared resources.
     *
     * @return the declared resources, not null
     */
    public Resources resources() {
        return resources;
    }

    /**
     * Returns the declared run time, in milliseconds.
     *
     * @return the declared run time, in milliseconds
     */
    public long runMillis() {
        return runMillis;
    }

    /**
     * Returns the deadline, in milliseconds since 1970.
     *
     * @return the deadline, in milliseconds since 1970, not null
     */
    public Optional<Long> deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns whether its progress can be saved.
     *
     * @return true if its progress can be saved
     */
    public boolean isCheckpointable() {
        return checkpointable;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof JobSpec other
                && other.id.equals(id)
                && other.pool.equals(pool)
                && other.team.equals(team)
                && other.requestClass.equals(requestClass)
                && other.kind.equals(kind)
                && other.resources.equals(resources)
                && other.runMillis == runMillis
                && other.deadlineMillis.equals(deadlineMillis)
                && other.checkpointable == checkpointable;
    }

    @Override
    public int hashCode() {
        return Objects.hash(id, pool, team, requestClass, kind, resources, runMillis, deadlineMillis, checkpointable);
    }

    /**
     * Returns the name, the class and the resources.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return id + " (" + requestClass.code() + "): " + resources;
    }

    /**
     * Builder of jobs.
     */
    public static final class Builder {
        private final JobId id;
        private PoolName pool;
        private TeamName team;
        private RequestClass requestClass = RequestClass.NORMAL;
        private String kind = "";
        private Resources resources = Resources.NONE;
        private long runMillis;
        private Optional<Long> deadlineMillis = Optional.empty();
        private boolean checkpointable;

        private Builder(JobId id) {
            this.id = id;
        }

        /**
         * Sets the pool whose workers run it.
         *
         * @param newPool  the pool whose workers run it, not null
         * @return this builder, not null
         */
        public Builder pool(PoolName newPool) {
            this.pool = newPool;
            return this;
        }

        /**
         * Sets the team it belongs to.
         *
         * @param newTeam  the team it belongs to, not null
         * @return this builder, not null
         */
        public Builder team(TeamName newTeam) {
            this.team = newTeam;
            return this;
        }

        /**
         * Sets how urgent it is.
         *
         * @param newRequestClass  how urgent it is, not null
         * @return this builder, not null
         */
        public Builder requestClass(RequestClass newRequestClass) {
            this.requestClass = newRequestClass;
            return this;
        }

        /**
         * Sets its kind, which learned corrections are kept by.
         *
         * @param newKind  its kind, which learned corrections are kept by, not null
         * @return this builder, not null
         */
        public Builder kind(String newKind) {
            this.kind = newKind;
            return this;
        }

        /**
         * Sets the declared resources.
         *
         * @param newResources  the declared resources, not null
         * @return this builder, not null
         */
        public Builder resources(Resources newResources) {
            this.resources = newResources;
            return this;
        }

        /**
         * Sets the declared run time, in milliseconds.
         *
         * @param newRunMillis  the declared run time, in milliseconds
         * @return this builder, not null
         */
        public Builder runMillis(long newRunMillis) {
            this.runMillis = newRunMillis;
            return this;
        }

        /**
         * Sets the deadline, in milliseconds since 1970.
         *
         * @param newDeadlineMillis  the deadline, in milliseconds since 1970, not null
         * @return this builder, not null
         */
        public Builder deadlineMillis(Optional<Long> newDeadlineMillis) {
            this.deadlineMillis = newDeadlineMillis;
            return this;
        }

        /**
         * Sets whether its progress can be saved.
         *
         * @param newCheckpointable  whether its progress can be saved
         * @return this builder, not null
         */
        public Builder checkpointable(boolean newCheckpointable) {
            this.checkpointable = newCheckpointable;
            return this;
        }

        /**
         * Builds the job.
         *
         * @return the job, not null
         * @throws NullPointerException if the pool or the team is missing
         */
        public JobSpec build() {
            return new JobSpec(this);
        }
    }
}
