package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.trefoilpost.decision.plan.PlanBatch;
import org.trefoilpost.decision.plan.PlanStep;
import org.trefoilpost.decision.plan.StepKind;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * The maintenance cycle of a fleet: every worker is maintained once in four weeks.
 *
 * <p>Each pool has one slot, the longest placed first, always on the least loaded day. Within a day the slots follow one
 * another in as few lanes as its working time needs. A slot only says when a wave of the pool is planned and offered;
 * what may stop is decided by the ledger at that time.
 */
public final class FleetCalendar {
    /** The days of a cycle. */
    public static final int CYCLE_DAYS = 28;
    /** The minutes of a day in which maintenance may run. */
    public static final int WORKING_MINUTES = 480;

    private static final int DAY_MINUTES = 24 * 60;

    private final List<CalendarSlot> slots;
    private final int omittedWorkers;

    private FleetCalendar(List<CalendarSlot> slots, int leftOut) {
        this.slots = List.copyOf(slots);
        this.omittedWorkers = leftOut;
    }

    /**
     * Computes the calendar of all pools.
     *
     * @param snapshot  what the calendar is computed from, not null
     * @param strategy  the strategy for each pool's wave, not null
     * @return the calendar, not null
     */
    public static FleetCalendar of(FleetSnapshot snapshot, WaveStrategy strategy) {
        List<CalendarSlot> unplaced = new ArrayList<>();
        int leftOut = 0;
        for (PoolName pool : snapshot.inventory().pools().keySet()) {
            WaveDraft draft = strategy.draft(snapshot, Set.of(pool));
            List<List<WorkerId>> batches = batches(draft);
            int minutes = (int) Math.ceil(draft.measures().rollOutTime());
            unplaced.add(CalendarSlot.of(pool, 0, minutes, batches));
            leftOut += snapshot.inventory().pool(pool).members().size() - draft.maintained();
        }
        return new FleetCalendar(placeSlots(unplaced), leftOut);
    }

    private static List<List<WorkerId>> batches(WaveDraft draft) {
        List<List<WorkerId>> batches = new ArrayList<>();
        for (PlanBatch batch : draft.batches()) {
            List<WorkerId> workers = batch.steps().stream()
                    .filter(step -> step.kind() == StepKind.MAINTAIN)
                    .map(PlanStep::worker)
                    .toList();
            if (!workers.isEmpty()) {
                batches.add(workers);
            }
        }
        return batches;
    }

    private static List<CalendarSlot> placeSlots(List<CalendarSlot> unplaced) {
        List<CalendarSlot> longestFirst = new ArrayList<>(unplaced);
        longestFirst.sort(Comparator.comparingInt(CalendarSlot::durationMinutes)
                .reversed()
                .thenComparing(CalendarSlot::pool));
        List<List<CalendarSlot>> days = new ArrayList<>();
        int[] load = new int[CYCLE_DAYS];
        for (int day = 0; day < CYCLE_DAYS; day++) {
            days.add(new ArrayList<>());
        }
        for (CalendarSlot slot : longestFirst) {
            int day = indexOfLeast(load);
            days.get(day).add(slot);
            load[day] += slot.durationMinutes();
        }
        List<CalendarSlot> placed = new ArrayList<>();
        for (int day = 0; day < CYCLE_DAYS; day++) {
            placeDay(days.get(day), day * DAY_MINUTES, load[day], placed);
        }
        placed.sort(Comparator.comparingInt(CalendarSlot::startMinute).thenComparing(CalendarSlot::pool));
        return placed;
    }

    private static void placeDay(List<CalendarSlot> slots, int dayStart, int load, List<CalendarSlot> placed) {
        int[] lanes = new int[Math.max(1, (load + WORKING_MINUTES - 1) / WORKING_MINUTES)];
        Arrays.fill(lanes, dayStart);
        for (CalendarSlot slot : slots) {
            int lane = indexOfLeast(lanes);
            placed.add(slot.withStart(lanes[lane]));
            lanes[lane] += slot.durationMinutes();
        }
    }

    private static int indexOfLeast(int[] values) {
        int least = 0;
        for (int i = 1; i < values.length; i++) {
            if (values[i] < values[least]) {
                least = i;
            }
        }
        return least;
    }

    /**
     * Returns the slots in the order of their start.
     *
     * @return the slots, unmodifiable, not null
     */
    public List<CalendarSlot> slots() {
        return slots;
    }

    /**
     * Returns how many workers can't be maintained within their pool's budget.
     *
     * @return the count, not negative
     */
    public int omittedWorkers() {
        return omittedWorkers;
    }

    /**
     * Returns when the last slot ends.
     *
     * @return the minutes since the start of the cycle
     */
    public int endMinute() {
        return slots.stream()
                .mapToInt(slot -> slot.startMinute() + slot.durationMinutes())
                .max()
                .orElse(0);
    }

    /**
     * Returns the pools and the end.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return slots.size() + " pools until minute " + endMinute() + ", " + omittedWorkers + " workers left out";
    }
}
