package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.TreeSet;

/**
 * The numbers of the failed runs of a task or a gang. A worker reports the end of a run until it is acknowledged, so a
 * new owner of the pool may receive an end that the previous one has stored; each run counts once.
 */
final class FailedRuns {
    private final TreeSet<Integer> numbers = new TreeSet<>();

    /**
     * Adds a failed run; has no effect if the run was added before.
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
