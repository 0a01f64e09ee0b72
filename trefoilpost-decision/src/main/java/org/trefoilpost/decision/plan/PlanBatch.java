package org.trefoilpost.decision.plan;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.PoolName;

/**
 * Steps of a plan that run concurrently, with the headroom that each touched pool keeps while they run.
 */
public final class PlanBatch {
    private final List<PlanStep> steps;
    private final SortedMap<PoolName, Integer> headroom;

    private PlanBatch(List<PlanStep> steps, SortedMap<PoolName, Integer> headroom) {
        this.steps = steps;
        this.headroom = headroom;
    }

    /**
     * Obtains a batch.
     *
     * @param steps  the steps that run concurrently, not null
     * @param headroom  the headroom, in workers, of each touched pool while all steps are under way, not null
     * @return the batch, not null
     */
    public static PlanBatch of(List<PlanStep> steps, SortedMap<PoolName, Integer> headroom) {
        return new PlanBatch(List.copyOf(steps), Collections.unmodifiableSortedMap(new TreeMap<>(headroom)));
    }

    /**
     * Returns the steps.
     *
     * @return the steps, unmodifiable, not null
     */
    public List<PlanStep> steps() {
        return steps;
    }

    /**
     * Returns the headroom of each touched pool while all steps are under way.
     *
     * @return the headroom in workers, unmodifiable, not null
     */
    public SortedMap<PoolName, Integer> headroom() {
        return headroom;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanBatch other && other.steps.equals(steps) && other.headroom.equals(headroom);
    }

    @Override
    public int hashCode() {
        return Objects.hash(steps, headroom);
    }

    /**
     * Returns the steps and the headroom.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return steps + " headroom " + headroom;
    }
}
