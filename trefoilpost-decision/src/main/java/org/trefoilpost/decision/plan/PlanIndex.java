package org.trefoilpost.decision.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The confirmed plans, one document.
 *
 * <p>A plan is confirmed by the compare-and-swap that adds it here. Of two confirmations of the same plan, or of plans
 * that touch the same pool, one therefore wins and the other sees it.
 */
public final class PlanIndex {
    /** The newest format of the document that this version reads and writes. */
    public static final int FORMAT = 1;
    /** The most ended plans that the index still lists. */
    public static final int MAX_ENDED_PLANS = 256;

    private final List<ConfirmedPlan> plans;
    private final long version;

    private PlanIndex(List<ConfirmedPlan> plans, long version) {
        this.plans = List.copyOf(plans);
        this.version = version;
    }

    /**
     * Obtains an index.
     *
     * @param plans  the plans, oldest first, not null
     * @param version  the version, which grows with each change
     * @return the index, not null
     */
    public static PlanIndex of(List<ConfirmedPlan> plans, long version) {
        return new PlanIndex(plans, version);
    }

    /**
     * Obtains an index without plans.
     *
     * @return the index at version 0, not null
     */
    public static PlanIndex empty() {
        return new PlanIndex(List.of(), 0);
    }

    /**
     * Returns the plans, oldest first.
     *
     * @return the plans, unmodifiable, not null
     */
    public List<ConfirmedPlan> plans() {
        return plans;
    }

    /**
     * Returns the version, which grows with each change.
     *
     * @return the version, not negative
     */
    public long version() {
        return version;
    }

    /**
     * Returns a plan.
     *
     * @param digest  the plan's digest, not null
     * @return the plan, not null, empty if the index doesn't list it
     */
    public Optional<ConfirmedPlan> plan(PlanDigest digest) {
        return plans.stream().filter(plan -> plan.digest().equals(digest)).findFirst();
    }

    /**
     * Returns a copy with a plan.
     *
     * @param plan  the plan, not null
     * @param operator  the operator who confirms it, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the index, not null
     */
    public PlanIndex withPlan(Plan plan, String operator, long nowMillis) {
        List<ConfirmedPlan> copy = new ArrayList<>(plans);
        copy.add(ConfirmedPlan.of(plan.digest(), operator, nowMillis, version + 1, plan.touchedPools()));
        return new PlanIndex(copy, version + 1);
    }

    /**
     * Returns a copy in which a plan has ended; this index if it has or isn't listed.
     *
     * @param digest  the plan's digest, not null
     * @return the index, not null
     */
    public PlanIndex withPlanEnded(PlanDigest digest) {
        if (plan(digest).map(ConfirmedPlan::ended).orElse(true)) {
            return this;
        }
        List<ConfirmedPlan> copy = new ArrayList<>();
        plans.forEach(plan -> copy.add(plan.digest().equals(digest) ? plan.asEnded() : plan));
        long surplus = copy.stream().filter(ConfirmedPlan::ended).count() - MAX_ENDED_PLANS;
        if (surplus > 0) {
            copy.remove(copy.stream().filter(ConfirmedPlan::ended).findFirst().orElseThrow());
        }
        return new PlanIndex(copy, version + 1);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanIndex other && other.version == version && other.plans.equals(plans);
    }

    @Override
    public int hashCode() {
        return Objects.hash(version, plans);
    }

    /**
     * Returns the version and the plans.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "index@" + version + " " + plans;
    }
}
