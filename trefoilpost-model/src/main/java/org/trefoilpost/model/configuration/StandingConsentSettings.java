package org.trefoilpost.model.configuration;

import java.util.Collections;
import java.util.Objects;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;

/**
 * The moves into a pool that operators allow in advance, without a confirmation of each.
 */
public final class StandingConsentSettings {
    private final int movesPerDay;
    private final SortedSet<PoolName> lendingPools;

    private StandingConsentSettings(int movesPerDay, SortedSet<PoolName> lendingPools) {
        this.movesPerDay = movesPerDay;
        this.lendingPools = lendingPools;
    }

    /**
     * Obtains a consent.
     *
     * @param movesPerDay  the most moves in a day, not negative
     * @param lendingPools  the pools that may lend instances, not null
     * @return the consent, not null
     * @throws IllegalArgumentException if the number of moves is negative
     */
    public static StandingConsentSettings of(int movesPerDay, Set<PoolName> lendingPools) {
        if (movesPerDay < 0) {
            throw new IllegalArgumentException("movesPerDay must not be negative: " + movesPerDay);
        }
        return new StandingConsentSettings(movesPerDay, Collections.unmodifiableSortedSet(new TreeSet<>(lendingPools)));
    }

    /**
     * Returns the most moves in a day.
     *
     * @return the moves, not negative
     */
    public int movesPerDay() {
        return movesPerDay;
    }

    /**
     * Returns the pools that may lend instances.
     *
     * @return the pools, not null, unmodifiable
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
     * Returns the moves and the lending pools.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return movesPerDay + " moves a day from " + lendingPools;
    }
}
