package org.trefoilpost.decision.dispatch;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.decision.admission.AdmissionRequest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.request.RequestClass;

/**
 * The properties of a request that its dispatch depends on.
 */
public final class DispatchRequest {
    private final long id;
    private final PoolName pool;
    private final RequestClass requestClass;
    private final TeamName team;
    private final boolean repeatable;
    private final long deadlineMillis;

    private DispatchRequest(Builder builder) {
        this.id = builder.id;
        this.pool = Objects.requireNonNull(builder.pool, "pool");
        this.requestClass = Objects.requireNonNull(builder.requestClass, "requestClass");
        this.team = builder.team;
        this.repeatable = builder.repeatable;
        this.deadlineMillis = builder.deadlineMillis;
    }

    /**
     * Returns a builder of a normal request that may not be repeated.
     *
     * @param id  the id of the request, unique in its entry
     * @param pool  the pool, not null
     * @param deadlineMillis  the time at which the caller stops waiting, in milliseconds
     * @return the builder, not null
     */
    public static Builder builder(long id, PoolName pool, long deadlineMillis) {
        return new Builder(id, pool, deadlineMillis);
    }

    /**
     * Returns the id of the request.
     *
     * @return the id, unique in its entry
     */
    public long id() {
        return id;
    }

    /**
     * Returns the pool.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the class.
     *
     * @return the class, not null
     */
    public RequestClass requestClass() {
        return requestClass;
    }

    /**
     * Returns the team whose quota the request uses.
     *
     * @return the team, empty if there is none, not null
     */
    public Optional<TeamName> team() {
        return Optional.ofNullable(team);
    }

    /**
     * Returns whether the request may run more than once.
     *
     * @return true if it may
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return the time in milliseconds
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /**
     * Returns the properties of the request that its admission depends on.
     *
     * @return the request, not null
     */
    AdmissionRequest admission() {
        AdmissionRequest request = AdmissionRequest.of(id, requestClass, deadlineMillis);
        return team == null ? request : request.withTeam(team);
    }

    /**
     * Returns the id, the pool and the deadline.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return id + " to " + pool + " until " + deadlineMillis;
    }

    /**
     * Builder of dispatch requests.
     */
    public static final class Builder {
        private final long id;
        private final PoolName pool;
        private final long deadlineMillis;
        private RequestClass requestClass = RequestClass.NORMAL;
        private TeamName team;
        private boolean repeatable;

        private Builder(long id, PoolName pool, long deadlineMillis) {
            this.id = id;
            this.pool = pool;
            this.deadlineMillis = deadlineMillis;
        }

        /**
         * Sets the class.
         *
         * @param newClass  the class, not null
         * @return this builder, not null
         */
        public Builder requestClass(RequestClass newClass) {
            this.requestClass = newClass;
            return this;
        }

        /**
         * Sets the team.
         *
         * @param newTeam  the team, empty if there is none, not null
         * @return this builder, not null
         */
        public Builder team(Optional<TeamName> newTeam) {
            this.team = newTeam.orElse(null);
            return this;
        }

        /**
         * Sets whether the request may run more than once.
         *
         * @param newRepeatable  true if it may
         * @return this builder, not null
         */
        public Builder repeatable(boolean newRepeatable) {
            this.repeatable = newRepeatable;
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request, not null
         * @throws NullPointerException if the pool or the class is null
         */
        public DispatchRequest build() {
            return new DispatchRequest(this);
        }
    }
}
