package org.trefoilpost.model.capacity;

import java.util.Objects;

/**
 * How many usable workers a pool must keep, and which correlated failure it must survive on top.
 *
 * <p>A planned stop is allowed while the usable workers that remain, less those that one failure of the reserved domain
 * could take, are at least the floor.
 */
public final class AvailabilityBudget {
    private final int floor;
    private final FailureDomain reserve;

    private AvailabilityBudget(int floor, FailureDomain reserve) {
        this.floor = floor;
        this.reserve = reserve;
    }

    /**
     * Obtains a budget.
     *
     * @param floor  the least number of usable workers, not negative
     * @param reserve  the domain whose failure the pool must survive, not null
     * @return the budget, not null
     * @throws IllegalArgumentException if the floor is negative
     */
    public static AvailabilityBudget of(int floor, FailureDomain reserve) {
        Objects.requireNonNull(reserve, "reserve");
        if (floor < 0) {
            throw new IllegalArgumentException("floor must not be negative: " + floor);
        }
        return new AvailabilityBudget(floor, reserve);
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
     * Returns the domain whose failure the pool must survive.
     *
     * @return the domain, not null
     */
    public FailureDomain reserve() {
        return reserve;
    }

    /**
     * Returns a copy of this budget with another floor.
     *
     * @param newFloor  the least number of usable workers, not negative
     * @return the copy, not null
     * @throws IllegalArgumentException if the floor is negative
     */
    public AvailabilityBudget withFloor(int newFloor) {
        return of(newFloor, reserve);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof AvailabilityBudget other && other.floor == floor && other.reserve == reserve;
    }

    @Override
    public int hashCode() {
        return Objects.hash(floor, reserve);
    }

    /**
     * Returns the floor and the reserve.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "floor " + floor + ", reserve " + reserve.code();
    }
}
