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
 * The maintenance cycle of a fleet: every worker is maintained once in {@value #CYCLE_DAYS} days.
 *
 * <p>Each pool has one slot. The slots are placed longest first, each on the day with the least maintenance so far.
 * Within a day they run one after another in parallel lanes, as few as fit the day's maintenance into its working
 * time. A slot only says when a wave of the pool is planned and offered to operators; which workers may stop is
 * decided against the ledger at that time.
 */
public final class FleetCalendar {
    /** The days of a cycle. */
    public static final int CYCLE_DAYS = 28;
    /** The minutes of a day in which maintenance may run. */
    public static final int WORKING_MINUTES = 480;

    private static final int DAY_MINUTES = 24 * 60;

    private final List<CalendarSlot> slots;
    private final int omittedWorkers;

    private FleetCalendar(List<CalendarSlot> slots, int omittedWorkers) {
        this.slots = List.copyOf(slots);
        this.omittedWorkers = omittedWorkers;
    }

    /**
     * Computes the calendar of all pools.
     *
     * @param snapshot  the state of the fleet, not null
     * @param strategy  the strategy for each pool's wave, not null
     * @return the calendar, not null
     */
    public static FleetCalendar of(FleetSnapshot snapshot, WaveStrategy strategy) {
        List<CalendarSlot> slotsToPlace = new ArrayList<>();
        int omittedWorkers = 0;
        for (PoolName pool : snapshot.inventory().pools().keySet()) {
            WaveDraft draft = strategy.draft(snapshot, Set.of(pool));
            List<List<WorkerId>> batches = batches(draft);
            int minutes = (int) Math.ceil(draft.measures().rollOutTime());
            slotsToPlace.add(CalendarSlot.of(pool, 0, minutes, batches));
            omittedWorkers += snapshot.inventory().pool(pool).members().size() - draft.maintained();
        }
        return new FleetCalendar(placeSlots(slotsToPlace), omittedWorkers);
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

    private static List<CalendarSlot> placeSlots(List<CalendarSlot> slotsToPlace) {
        List<CalendarSlot> longestFirst = new ArrayList<>(slotsToPlace);
        longestFirst.sort(Comparator.comparingInt(CalendarSlot::durationMinutes)
                .reversed()
                .thenComparing(CalendarSlot::pool));
        List<List<CalendarSlot>> days = new ArrayList<>();
        int[] loadMinutes = new int[CYCLE_DAYS];
        for (int day = 0; day < CYCLE_DAYS; day++) {
            days.add(new ArrayList<>());
        }
        for (CalendarSlot slot : longestFirst) {
            int day = indexOfLeast(loadMinutes);
            days.get(day).add(slot);
            loadMinutes[day] += slot.durationMinutes();
        }
        List<CalendarSlot> placed = new ArrayList<>();
        for (int day = 0; day < CYCLE_DAYS; day++) {
            placeDay(days.get(day), day * DAY_MINUTES, loadMinutes[day], placed);
        }
        placed.sort(Comparator.comparingInt(CalendarSlot::startMinute).thenComparing(CalendarSlot::pool));
        return placed;
    }

    private static void placeDay(List<CalendarSlot> slots, int dayStart, int loadMinutes, List<CalendarSlot> placed) {
        int[] laneEnds = new int[Math.max(1, (loadMinutes + WORKING_MINUTES - 1) / WORKING_MINUTES)];
        Arrays.fill(laneEnds, dayStart);
        for (CalendarSlot slot : slots) {
            int lane = indexOfLeast(laneEnds);
            placed.add(slot.withStart(laneEnds[lane]));
            laneEnds[lane] += slot.durationMinutes();
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
     * Returns how many workers have no slot because they can't be maintained within their pool's budget.
     *
     * @return the count, not negative
     */
    public int omittedWorkers() {
        return omittedWorkers;
    }

    /**
     * Returns when the last slot ends.
     *
     * @return the minutes since the start of the cycle, 0 without slots
     */
    public int endMinute() {
        return slots.stream()
                .mapToInt(slot -> slot.startMinute() + slot.durationMinutes())
                .max()
                .orElse(0);
    }

    /**
     * Returns the number of pools, the end and the number of workers without a slot.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return slots.size() + " pools until minute " + endMinute() + ", " + omittedWorkers + " workers left out";
    }
}
