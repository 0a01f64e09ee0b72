package org.trefoilpost.decision.job.team;

import java.util.Objects;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * What a team's known runs in a pool use, from the sending of their start until their end is certain.
 *
 * @param started  the use of the runs that the present owner started, not null
 * @param adopted  the use of the runs that an earlier owner started, as far as workers have reported them, not null
 */
public record TeamUse(ResourceAmount started, ResourceAmount adopted) {
    /** No use. */
    public static final TeamUse NONE = new TeamUse(ResourceAmount.NONE, ResourceAmount.NONE);

    /**
     * Constructs a use.
     */
    public TeamUse {
        Objects.requireNonNull(started, "started");
        Objects.requireNonNull(adopted, "adopted");
    }

    /**
     * Returns this use with one more run.
     *
     * @param amount  what the run uses, not null
     * @param byEarlierOwner  true if an earlier owner started the run
     * @return the sum, not null
     */
    public TeamUse plus(ResourceAmount amount, boolean byEarlierOwner) {
        return byEarlierOwner ? new TeamUse(started, adopted.plus(amount)) : new TeamUse(started.plus(amount), adopted);
    }

    /**
     * Returns the use of all known runs.
     *
     * @return the sum, not null
     */
    public ResourceAmount total() {
        return started.plus(adopted);
    }

    /**
     * Returns how much may be running that no worker has reported yet. Earlier owners together kept the pool within the
     * grant that the present owner found, so what they run elsewhere is at most that grant less what is known of it. What the
     * present owner started is not subtracted, as an earlier owner does not count it.
     *
     * @param formerGrant  the grant of the pool when the present owner read it, not null
     * @param unansweredCapacity  the capacity of the workers that may have unknown runs, not null
     * @return the amount, not null
     */
    public ResourceAmount unseen(ResourceAmount formerGrant, ResourceAmount unansweredCapacity) {
        return Amounts.min(Amounts.excess(formerGrant, adopted), unansweredCapacity);
    }
}
