package org.trefoilpost.decision.job.team;

import org.trefoilpost.decision.job.Decision;

/**
 * Carries out what a pool decides about its grants. No method blocks; outcomes are passed to {@link PoolTeamLimits}.
 */
public interface TeamGrantWriter {
    /**
     * Stores the grants of a team, if its key has a revision and the pool's claim is unchanged.
     *
     * @param team  the name of the team, not null
     * @param grants  the grants to store, with the revision that the key must have, 0 if it must not exist, not null
     */
    void write(String team, TeamGrants grants);

    /**
     * Reads the grants of a team, whose present state is not known.
     *
     * @param team  the name of the team, not null
     */
    void read(String team);

    /**
     * Logs a decision.
     *
     * @param decision  the decision, not null
     */
    void logDecision(Decision decision);
}
