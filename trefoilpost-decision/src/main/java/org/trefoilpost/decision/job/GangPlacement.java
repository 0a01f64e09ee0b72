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
final class GangPlacement {
    private GangPlacement() {}

    /**
     * Chooses a worker for each task: on one rack if the step is slow elsewhere and one has the room.
     *
     * @return a worker for each task, empty if they do not all fit, not null
     */
    static List<PoolWorker> chooseWorkers(JobStepState step, List<PoolWorker> slots) {
        if (step.spec.sameRack()) {
            Map<String, List<PoolWorker>> racks = new LinkedHashMap<>();
            slots.forEach(slot -> racks.computeIfAbsent(slot.registration.rack(), rack -> new ArrayList<>())
                    .add(slot));
            for (List<PoolWorker> rack : racks.values()) {
                List<PoolWorker> chosen = assign(step, rack);
                if (!chosen.isEmpty()) {
                    return chosen;
                }
            }
        }
        return assign(step, slots);
    }

    private static List<PoolWorker> assign(JobStepState step, List<PoolWorker> slots) {
        Map<PoolWorker, ResourceAmount> free = new HashMap<>();
        Map<PoolWorker, Integer> taken = new HashMap<>();
        slots.forEach(slot -> free.put(slot, slot.freeResources()));
        slots.forEach(slot -> taken.put(slot, slot.countTasksOf(step)));
        ResourceAmount need = step.spec.reservedDemand();
        int most = step.spec.maxPerWorker() == 0 ? Integer.MAX_VALUE : step.spec.maxPerWorker();
        List<PoolWorker> chosen = new ArrayList<>();
        for (int i = 0; i < step.tasks.length; i++) {
            PoolWorker slot = slots.stream()
                    .filter(each -> need.fitsIn(free.get(each)) && taken.get(each) < most)
                    .max(Comparator.comparingLong(each -> free.get(each).cpuMillis()))
                    .orElse(null);
            if (slot == null) {
                return List.of();
            }
            free.merge(slot, need, ResourceAmount::minus);
            taken.merge(slot, 1, Integer::sum);
            chosen.add(slot);
        }
        return chosen;
    }
}
