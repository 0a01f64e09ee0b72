package org.trefoilpost.model.configuration;

import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;

/**
 * Limits within which instances may be moved into a pool without confirmation by an operator.
 */
public final class StandingConsentSettings {
    private final int movesPerDay;
    private final SortedSet<PoolName> lendingPools;

    private StandingConsentSettings(int movesPerDay, SortedSet<PoolName> lendingPools) {
        this.movesPerDay = movesPerDay;
        this.lendingPools = lendingPools;
    }

    /**
     * Obtains the limits of a standing consent.
     *
     * @param movesPerDay  the maximum number of instances moved within 24 hours, not negative
     * @param lendingPools  the pools from which instances may be moved, not null, may be empty
     * @return the settings, not null
     * @throws IllegalArgumentException if the number of moves is negative
     */
    public static StandingConsentSettings of(int movesPerDay, Set<PoolName> lendingPools) {
        if (movesPerDay < 0) {
            throw new IllegalArgumentException("movesPerDay must not be negative: " + movesPerDay);
        }
        return new StandingConsentSettings(movesPerDay, Collections.unmodifiableSortedSet(new TreeSet<>(lendingPools)));
    }

    /**
     * Returns the maximum number of instances moved within 24 hours.
     *
     * @return the number of instances, not negative
     */
    public int movesPerDay() {
        return movesPerDay;
    }

    /**
     * Returns the pools from which instances may be moved.
     *
     * @return the names of the pools, not null, may be empty, unmodifiable
     */
    public SortedSet<PoolName> lendingPools() {
        return lendingPools;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof StandingConsentSettings other
                && other.movesPerDay == movesPerDay
                && other.lendingPools.equals(lendingPools);
    }

    @Override
    public int hashCode() {
        return Objects.hash(movesPerDay, lendingPools);
    }

    /**
     * Returns the moves per day and the lending pools, for messages.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return movesPerDay + " moves a day from " + lendingPools;
    }
}
