package org.trefoilpost.decision.planner;

import java.util.List;
import java.util.Objects;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * The time in a maintenance cycle at which a pool's workers are maintained.
 */
public final class CalendarSlot {
    private final PoolName pool;
    private final int startMinute;
    private final int durationMinutes;
    private final List<List<WorkerId>> batches;

    private CalendarSlot(PoolName pool, int startMinute, int minutes, List<List<WorkerId>> batches) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.startMinute = startMinute;
        this.durationMinutes = minutes;
        this.batches = batches;
    }

    static CalendarSlot of(PoolName pool, int startMinute, int minutes, List<List<WorkerId>> batches) {
        return new CalendarSlot(pool, startMinute, minutes, List.copyOf(batches));
    }

    CalendarSlot withStart(int newStartMinute) {
        return new CalendarSlot(pool, newStartMinute, durationMinutes, batches);
    }

    /**
     * Returns the pool.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns when the maintenance of the pool starts.
     *
     * @return the minutes since the start of the cycle
     */
    public int startMinute() {
        return startMinute;
    }

    /**
     * Returns how long the maintenance of the pool is expected to take.
     *
     * @return the minutes
     */
    public int durationMinutes() {
        return durationMinutes;
    }

    /**
     * Returns the workers that are maintained together, in order.
     *
     * @return the batches, unmodifiable, not null
     */
    public List<List<WorkerId>> batches() {
        return batches;
    }

    /**
     * Returns the pool and the time.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return pool + " at minute " + startMinute + " for " + durationMinutes + " min";
    }
}
