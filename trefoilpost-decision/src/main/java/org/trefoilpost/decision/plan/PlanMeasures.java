package org.trefoilpost.decision.plan;

import java.util.Objects;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

/**
 * The cost of a plan: buffer cost, roll-out time and moves.
 */
public final class PlanMeasures {
    /** The measures of a plan that does nothing. */
    public static final PlanMeasures ZERO = new PlanMeasures(0, 0, 0);

    private final double bufferCost;
    private final double rollOutTime;
    private final int moves;

    private PlanMeasures(double bufferCost, double rollOutTime, int moves) {
        this.bufferCost = bufferCost;
        this.rollOutTime = rollOutTime;
        this.moves = moves;
    }

    /**
     * Obtains measures.
     *
     * @param bufferCost  the capacity above the floor that is kept idle while the plan runs, in instance-minutes
     * @param rollOutTime  how long the plan runs, in minutes
     * @param moves  the number of instances moved between pools, loans and returns included
     * @return the measures, not null
     */
    public static PlanMeasures of(double bufferCost, double rollOutTime, int moves) {
        return new PlanMeasures(bufferCost, rollOutTime, moves);
    }

    /**
     * Returns the capacity above the floor that is kept idle while the plan runs.
     *
     * @return the buffer cost in instance-minutes
     */
    public double bufferCost() {
        return bufferCost;
    }

    /**
     * Returns how long the plan runs.
     *
     * @return the time in minutes
     */
    public double rollOutTime() {
        return rollOutTime;
    }

    /**
     * Returns how many instances are moved between pools, loans and returns included.
     *
     * @return the count, not negative
     */
    public int moves() {
        return moves;
    }

    /**
     * Returns the sum of each measure times its weight.
     *
     * @param weights  the weights, not null
     * @return the weighted cost
     */
    public double weightedCost(PlanMeasureWeights weights) {
        return bufferCost * weights.bufferCost() + rollOutTime * weights.rollOutTime() + moves * weights.moves();
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanMeasures other
                && other.bufferCost == bufferCost
                && other.rollOutTime == rollOutTime
                && other.moves == moves;
    }

    @Override
    public int hashCode() {
        return Objects.hash(bufferCost, rollOutTime, moves);
    }

    /**
     * Returns the three measures.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return bufferCost + " idle instance-minutes, " + rollOutTime + " min, " + moves + " moves";
    }
}
