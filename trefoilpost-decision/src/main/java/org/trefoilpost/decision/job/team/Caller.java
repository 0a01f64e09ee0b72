package org.trefoilpost.decision.job.team;

import java.util.Objects;
import java.util.Optional;

/**
 * Who sent a request about a job, as far as the access to jobs depends on it.
 *
 * @param identified  false if the key of the caller was not checked: in a deployment without keys, or by an entry with an
 *     earlier version of the program
 * @param team  the name of the team whose key the caller sent, empty if the caller belongs to no team, not null
 */
public record Caller(boolean identified, Optional<String> team) {
    /** A caller whose key was not checked. */
    public static final Caller UNIDENTIFIED = new Caller(false, Optional.empty());

    /**
     * Constructs a caller.
     *
     * @throws IllegalArgumentException if a caller that is not identified has a team
     */
    public Caller {
        Objects.requireNonNull(team, "team");
        if (!identified && team.isPresent()) {
            throw new IllegalArgumentException("a caller that is not identified has no team");
        }
    }

    /**
     * Obtains a caller whose key was checked.
     *
     * @param team  the name of its team, empty if it sent no known key to a public queue, not null
     * @return the caller, not null
     */
    public static Caller of(Optional<String> team) {
        return new Caller(true, team);
    }

    /**
     * Returns whether this caller may read, cancel and submit again a job.
     *
     * @param jobTeam  the name of the team that the job belongs to, empty if it belongs to none, not null
     * @return false if the job belongs to a team and this caller is known not to
     */
    public boolean mayAccessJobOf(Optional<String> jobTeam) {
        return !identified || jobTeam.isEmpty() || jobTeam.equals(team);
    }
}
