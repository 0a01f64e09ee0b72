package org.trefoilpost.decision.planner;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;

/**
 * The consent that operators gave in advance to repairs that run without a confirmation.
 */
public final class RepairConsent {
    /** The consent to nothing. */
    public static final RepairConsent NONE = new RepairConsent(0, Set.of());

    private final int movesPerDay;
    private final Set<PoolName> lenders;

    private RepairConsent(int movesPerDay, Set<PoolName> lenders) {
        this.movesPerDay = movesPerDay;
        this.lenders = Set.copyOf(lenders);
    }

    /**
     * Obtains a consent.
     *
     * @param movesPerDay  the most moves of repairs in a day, not negative
     * @param lenders  the pools that may lend, not null
     * @return the consent, not null
     * @throws IllegalArgumentException if the number of moves is negative
     */
    public static RepairConsent of(int movesPerDay, Set<PoolName> lenders) {
        if (movesPerDay < 0) {
            throw new IllegalArgumentException("movesPerDay must not be negative: " + movesPerDay);
        }
        return new RepairConsent(movesPerDay, lenders);
    }

    /**
     * Returns the most moves of repairs in a day.
     *
     * @return the moves, not negative
     */
    public int movesPerDay() {
        return movesPerDay;
    }

    /**
     * Returns the pools that may lend, sorted by name.
     *
     * @return the pools, not null
     */
    public Set<PoolName> lenders() {
        return new TreeSet<>(lenders);
    }

    /**
     * Returns whether a repair may run without a confirmation.
     *
     * @param repair  the repair plan, not null
     * @param movesToday  the moves that repairs made today without a confirmation
     * @return true if all its steps are releases, returns, or loans from pools that may lend, within the moves of a day
     */
    public boolean permits(Plan repair, int movesToday) {
        return movesPerDay > 0
                && movesToday + repair.measures().moves() <= movesPerDay
                && repair.steps().allMatch(this::permitsStep);
    }

    private boolean permitsStep(PlanStep step) {
        switch (step.kind()) {
            case RELEASE:
            case RETURN:
                return true;
            default:
                return step.kind() == StepKind.LOAN && lenders.contains(step.pool());
        }
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof RepairConsent other
                && other.movesPerDay == movesPerDay
                && other.lenders.equals(lenders);
    }

    @Override
    public int hashCode() {
        return Objects.hash(movesPerDay, lenders);
    }

    /**
     * Returns the moves and the lenders.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return movesPerDay + " moves a day from " + lenders();
    }
}
