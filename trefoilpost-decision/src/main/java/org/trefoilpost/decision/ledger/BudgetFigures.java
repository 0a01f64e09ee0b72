package org.trefoilpost.decision.ledger;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;
import org.trefoilpost.decision.inventory.PoolMember;
import org.trefoilpost.decision.inventory.PoolView;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;

/**
 * The figures that a pool's budget is checked with.
 *
 * <p>The headroom is the members, less the failed, less the planned stops of usable members, less the largest loss that
 * one failure of the reserved domain causes among what remains, less the floor. The budget holds while it isn't negative.
 */
public final class BudgetFigures {
    private final int members;
    private final int failed;
    private final int plannedStops;
    private final int reserve;
    private final int floor;

    private BudgetFigures(int members, int failed, int planned, int reserve, int floor) {
        this.members = members;
        this.failed = failed;
        this.plannedStops = planned;
        this.reserve = reserve;
        this.floor = floor;
    }

    /**
     * Computes the figures of a pool.
     *
     * @param view  the pool's members, not null
     * @param planned  the workers whose stops are planned, members or not, not null
     * @param budget  the pool's budget, not null
     * @return the figures, not null
     */
    public static BudgetFigures of(PoolView view, Set<WorkerId> planned, AvailabilityBudget budget) {
        Collection<PoolMember> remaining = view.usableWithout(planned);
        int reserve = PoolView.largestLoss(budget.reserve(), remaining);
        return new BudgetFigures(
                view.members().size(),
                view.failedCount(),
                view.usableCount() - remaining.size(),
                reserve,
                budget.floor());
    }

    /**
     * Returns how many workers the pool has.
     *
     * @return the count, not negative
     */
    public int members() {
        return members;
    }

    /**
     * Returns how many members can't take work.
     *
     * @return the count, not negative
     */
    public int failed() {
        return failed;
    }

    /**
     * Returns how many usable members have a planned stop.
     *
     * @return the count, not negative
     */
    public int plannedStops() {
        return plannedStops;
    }

    /**
     * Returns how many of the remaining members one failure of the reserved domain takes at most.
     *
     * @return the count, not negative
     */
    public int reserve() {
        return reserve;
    }

    /**
     * Returns the least number of usable workers.
     *
     * @return the floor, not negative
     */
    public int floor() {
        return floor;
    }

    /**
     * Returns how many usable members have no planned stop.
     *
     * @return the count, not negative
     */
    public int available() {
        return members - failed - plannedStops;
    }

    /**
     * Returns what is left above the floor and the reserve.
     *
     * @return the headroom, negative if the budget is exceeded
     */
    public int headroom() {
        return available() - reserve - floor;
    }

    /**
     * Returns whether the budget holds.
     *
     * @return true if the headroom isn't negative
     */
    public boolean holds() {
        return headroom() >= 0;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof BudgetFigures other
                && other.members == members
                && other.failed == failed
                && other.plannedStops == plannedStops
                && other.reserve == reserve
                && other.floor == floor;
    }

    @Override
    public int hashCode() {
        return Objects.hash(members, failed, plannedStops, reserve, floor);
    }

    /**
     * Returns the calculation of the headroom.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return members + " members - " + failed + " failed - " + plannedStops + " planned - " + reserve + " reserve - "
                + floor + " floor = " + headroom();
    }
}
