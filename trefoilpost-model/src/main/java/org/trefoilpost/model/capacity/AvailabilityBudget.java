package org.trefoilpost.model.capacity;

import java.util.Objects;

/**
 * The minimum number of usable workers of a pool, and the failure that the pool must tolerate in addition.
 *
 * <p>A planned stop is allowed if the usable workers that remain, minus the largest number that a single failure of the
 * reserved domain can take down, are at least the floor.
 */
public final class AvailabilityBudget {
    private final int floor;
    private final FailureDomain reserve;

    private AvailabilityBudget(int floor, FailureDomain reserve) {
        this.floor = floor;
        this.reserve = reserve;
    }

    /**
     * Obtains a budget from a floor and a reserve.
     *
     * @param floor  the minimum number of usable workers, not negative
     * @param reserve  the kind of failure domain of which one may fail without violating the floor, not null
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
     * Returns the minimum number of usable workers.
     *
     * @return the number of workers, not negative
     */
    public int floor() {
        return floor;
    }

    /**
     * Returns the kind of failure domain of which one may fail without violating the floor.
     *
     * @return the domain, not null, {@code NONE} if no capacity is reserved for failures
     */
    public FailureDomain reserve() {
        return reserve;
    }

    /**
     * Returns a copy of this budget with another floor.
     *
     * @param newFloor  the minimum number of usable workers, not negative
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
