package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.TreeSet;

/**
 * The numbers of a task's runs that failed. A worker lists an end until it is acknowledged, so a later owner may see
 * again what an earlier one has stored, and each run counts once.
 */
final class FailedRuns {
    private final TreeSet<Integer> numbers = new TreeSet<>();

    /**
     * Takes in that a run failed, maybe for another time.
     */
    void add(int run) {
        numbers.add(run);
    }

    int count() {
        return numbers.size();
    }

    Collection<Integer> numbers() {
        return numbers;
    }
}
