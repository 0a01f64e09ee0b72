package org.trefoilpost.decision.job.team;

/**
 * What a deployment requires of its teams.
 *
 * @param keysRequired  true if callers need the key of a team on queues that are not public
 * @param limitsEnforced  true if the caps of teams are enforced
 */
public record TeamPolicy(boolean keysRequired, boolean limitsEnforced) {
    /** The policy of a deployment without teams. */
    public static final TeamPolicy NONE = new TeamPolicy(false, false);
}
