package org.trefoilpost.decision.plan;

import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;

/**
 * A confirmed plan as the index of confirmed plans lists it.
 */
public final class ConfirmedPlan {
    private final PlanDigest digest;
    private final String operator;
    private final long confirmedMillis;
    private final long indexVersion;
    private final SortedSet<PoolName> pools;
    private final boolean ended;

    private ConfirmedPlan(
            PlanDigest digest,
            String operator,
            long confirmedMillis,
            long sequence,
            SortedSet<PoolName> pools,
            boolean ended) {
        this.digest = Objects.requireNonNull(digest, "digest");
        this.operator = Objects.requireNonNull(operator, "operator");
        this.confirmedMillis = confirmedMillis;
        this.indexVersion = sequence;
        this.pools = Collections.unmodifiableSortedSet(pools);
        this.ended = ended;
    }

    /**
     * Obtains a confirmed plan that is under way.
     *
     * @param digest  the plan's digest, not null
     * @param operator  the operator who confirmed it, not null
     * @param confirmedMillis  when it was confirmed, in milliseconds since the Unix epoch
     * @param sequence  the version of the index that first lists the plan
     * @param pools  the pools that the plan touches, not null
     * @return the confirmed plan, not null
     */
    public static ConfirmedPlan of(
            PlanDigest digest, String operator, long confirmedMillis, long sequence, Set<PoolName> pools) {
        return new ConfirmedPlan(digest, operator, confirmedMillis, sequence, new TreeSet<>(pools), false);
    }

    /**
     * Returns the plan's digest.
     *
     * @return the digest, not null
     */
    public PlanDigest digest() {
        return digest;
    }

    /**
     * Returns the operator who confirmed the plan.
     *
     * @return the operator, not null
     */
    public String operator() {
        return operator;
    }

    /**
     * Returns when the plan was confirmed.
     *
     * @return the time in milliseconds since the Unix epoch
     */
    public long confirmedMillis() {
        return confirmedMillis;
    }

    /**
     * Returns the version of the index that first lists the plan.
     *
     * @return the version
     */
    public long indexVersion() {
        return indexVersion;
    }

    /**
     * Returns the pools that the plan touches.
     *
     * @return the pools, unmodifiable, not null
     */
    public SortedSet<PoolName> pools() {
        return pools;
    }

    /**
     * Returns whether all steps of the plan have ended.
     *
     * @return true if they have
     */
    public boolean ended() {
        return ended;
    }

    /**
     * Returns a copy of which all steps have ended.
     *
     * @return the copy, not null
     */
    public ConfirmedPlan asEnded() {
        return new ConfirmedPlan(digest, operator, confirmedMillis, indexVersion, pools, true);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ConfirmedPlan other
                && other.digest.equals(digest)
                && other.operator.equals(operator)
                && other.confirmedMillis == confirmedMillis
                && other.indexVersion == indexVersion
                && other.pools.equals(pools)
                && other.ended == ended;
    }

    @Override
    public int hashCode() {
        return Objects.hash(digest, operator, confirmedMillis, indexVersion);
    }

    /**
     * Returns the digest, operator and pools.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "plan " + digest + " confirmed by " + operator + " at " + confirmedMillis + " for " + pools;
    }
}
