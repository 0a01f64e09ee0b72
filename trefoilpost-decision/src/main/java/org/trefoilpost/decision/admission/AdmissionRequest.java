package org.trefoilpost.decision.admission;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.request.RequestClass;

/**
 * The properties of a request that its admission depends on.
 */
public final class AdmissionRequest {
    private final long id;
    private final RequestClass requestClass;
    private final TeamName team;
    private final long deadlineMillis;

    private AdmissionRequest(long id, RequestClass requestClass, TeamName team, long deadlineMillis) {
        this.id = id;
        this.requestClass = requestClass;
        this.team = team;
        this.deadlineMillis = deadlineMillis;
    }

    /**
     * Obtains a request without a team.
     *
     * @param id  the id of the request, unique in its entry
     * @param requestClass  the class, not null
     * @param deadlineMillis  the time at which the caller stops waiting, in milliseconds
     * @return the request, not null
     */
    public static AdmissionRequest of(long id, RequestClass requestClass, long deadlineMillis) {
        return new AdmissionRequest(id, Objects.requireNonNull(requestClass, "requestClass"), null, deadlineMillis);
    }

    /**
     * Returns a copy of this request with a team.
     *
     * @param newTeam  the team whose quota the request uses, not null
     * @return the copy, not null
     */
    public AdmissionRequest withTeam(TeamName newTeam) {
        return new AdmissionRequest(id, requestClass, Objects.requireNonNull(newTeam, "team"), deadlineMillis);
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
     * @return the team, not null, empty if there is none
     */
    public Optional<TeamName> team() {
        return Optional.ofNullable(team);
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return the time in milliseconds
     */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof AdmissionRequest other
                && other.id == id
                && other.requestClass == requestClass
                && other.deadlineMillis == deadlineMillis
                && Objects.equals(other.team, team);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(id);
    }

    /**
     * Returns the id, the class and the deadline.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return id + " " + requestClass.code() + " until " + deadlineMillis;
    }
}
