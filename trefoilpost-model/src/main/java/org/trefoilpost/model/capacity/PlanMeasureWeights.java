package org.trefoilpost.model.capacity;

import java.util.Objects;

/**
 * How much an organisation minds each of the three measures of a plan.
 *
 * <p>The weighted cost of a plan is the sum of each measure times its weight. Buffer cost is in idle instance-minutes,
 * roll-out time in minutes, and moves in instances.
 */
public final class PlanMeasureWeights {
    private final double bufferCost;
    private final double rollOutTime;
    private final double moves;

    private PlanMeasureWeights(double bufferCost, double rollOutTime, double moves) {
        this.bufferCost = bufferCost;
        this.rollOutTime = rollOutTime;
        this.moves = moves;
    }

    /**
     * Obtains weights.
     *
     * @param bufferCost  the weight of an idle instance-minute, not negative
     * @param rollOutTime  the weight of a minute, not negative
     * @param moves  the weight of a moved instance, not negative
     * @return the weights, not null
     * @throws IllegalArgumentException if a weight is negative or not finite
     */
    public static PlanMeasureWeights of(double bufferCost, double rollOutTime, double moves) {
        return new PlanMeasureWeights(
                requireWeight("bufferCost", bufferCost),
                requireWeight("rollOutTime", rollOutTime),
                requireWeight("moves", moves));
    }

    private static double requireWeight(String name, double weight) {
        if (!Double.isFinite(weight) || weight < 0) {
            throw new IllegalArgumentException(name + " must be finite and not negative: " + weight);
        }
        return weight;
    }

    /**
     * Returns the weight of an idle instance-minute.
     *
     * @return the weight, not negative
     */
    public double bufferCost() {
        return bufferCost;
    }

    /**
     * Returns the weight of a minute of roll-out time.
     *
     * @return the weight, not negative
     */
    public double rollOutTime() {
        return rollOutTime;
    }

    /**
     * Returns the weight of a moved instance.
     *
     * @return the weight, not negative
     */
    public double moves() {
        return moves;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanMeasureWeights other
                && other.bufferCost == bufferCost
                && other.rollOutTime == rollOutTime
                && other.moves == moves;
    }

    @Override
    public int hashCode() {
        return Objects.hash(bufferCost, rollOutTime, moves);
    }

    /**
     * Returns the three weights.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "buffer cost " + bufferCost + ", roll-out time " + rollOutTime + ", moves " + moves;
    }
}
