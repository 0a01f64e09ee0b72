package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds workers for all tasks of a step that work only together.
 */
final class GangFit {
    private GangFit() {}

    /**
     * Chooses a worker for each task: on one rack if the step is slow elsewhere and one has the room.
     *
     * @return a worker for each task, empty if they do not all fit, not null
     */
    static List<WorkerSlot> choose(StepState step, List<WorkerSlot> slots) {
        if (step.spec.sameRack()) {
            Map<String, List<WorkerSlot>> racks = new LinkedHashMap<>();
            slots.forEach(slot -> racks.computeIfAbsent(slot.report.rack(), rack -> new ArrayList<>())
                    .add(slot));
            for (List<WorkerSlot> rack : racks.values()) {
                List<WorkerSlot> chosen = fill(step, rack);
                if (!chosen.isEmpty()) {
                    return chosen;
                }
            }
        }
        return fill(step, slots);
    }

    private static List<WorkerSlot> fill(StepState step, List<WorkerSlot> slots) {
        Map<WorkerSlot, Demand> free = new HashMap<>();
        Map<WorkerSlot, Integer> taken = new HashMap<>();
        slots.forEach(slot -> free.put(slot, slot.free()));
        slots.forEach(slot -> taken.put(slot, slot.tasksOf(step)));
        Demand need = step.spec.reservedDemand();
        int most = step.spec.maxPerWorker() == 0 ? Integer.MAX_VALUE : step.spec.maxPerWorker();
        List<WorkerSlot> chosen = new ArrayList<>();
        for (int i = 0; i < step.tasks.length; i++) {
            WorkerSlot slot = slots.stream()
                    .filter(each -> need.fitsIn(free.get(each)) && taken.get(each) < most)
                    .max(Comparator.comparingLong(each -> free.get(each).cpuMillis()))
                    .orElse(null);
            if (slot == null) {
                return List.of();
            }
            free.merge(slot, need, Demand::minus);
            taken.merge(slot, 1, Integer::sum);
            chosen.add(slot);
        }
        return chosen;
    }
}
