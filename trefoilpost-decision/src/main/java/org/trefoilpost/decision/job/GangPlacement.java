package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Chooses workers for all tasks of a gang, a step whose tasks only work together.
 */
final class GangPlacement {
    private GangPlacement() {}

    /**
     * Chooses a worker for each task, all on one rack if the step asks for it and a rack has the capacity.
     *
     * @return a worker for each task, empty if the tasks do not all fit, not null
     */
    static List<PoolWorker> chooseWorkers(JobStepState step, List<PoolWorker> workers) {
        return chooseWorkers(step, workers, PoolWorker::freeResources);
    }

    /**
     * Chooses a worker for each task as if other resources were free than are. Of workers with the same amount the first ones are
     * preferred.
     *
     * @param available  returns the resources to count on, not null
     * @return a worker for each task, empty if the tasks do not all fit, not null
     */
    static List<PoolWorker> chooseWorkers(
            JobStepState step, List<PoolWorker> workers, Function<PoolWorker, ResourceAmount> available) {
        if (step.spec.sameRack()) {
            Map<String, List<PoolWorker>> racks = new LinkedHashMap<>();
            workers.forEach(
                    worker -> racks.computeIfAbsent(worker.registration.rack(), rackWorkers -> new ArrayList<>())
                            .add(worker));
            for (List<PoolWorker> rackWorkers : racks.values()) {
                List<PoolWorker> chosen = assign(step, rackWorkers, available);
                if (!chosen.isEmpty()) {
                    return chosen;
                }
            }
        }
        return assign(step, workers, available);
    }

    private static List<PoolWorker> assign(
            JobStepState step, List<PoolWorker> workers, Function<PoolWorker, ResourceAmount> available) {
        Map<PoolWorker, ResourceAmount> free = new HashMap<>();
        Map<PoolWorker, Integer> taskCounts = new HashMap<>();
        workers.forEach(worker -> free.put(worker, available.apply(worker)));
        workers.forEach(worker -> taskCounts.put(worker, worker.countTasksOf(step)));
        ResourceAmount taskDemand = step.spec.reservedDemand();
        int maxPerWorker = step.spec.maxPerWorker() == 0 ? Integer.MAX_VALUE : step.spec.maxPerWorker();
        List<PoolWorker> chosen = new ArrayList<>();
        for (int i = 0; i < step.tasks.length; i++) {
            PoolWorker worker = workers.stream()
                    .filter(candidate ->
                            taskDemand.fitsIn(free.get(candidate)) && taskCounts.get(candidate) < maxPerWorker)
                    .max(Comparator.comparingLong(
                            candidate -> free.get(candidate).cpuMillis()))
                    .orElse(null);
            if (worker == null) {
                return List.of();
            }
            free.merge(worker, taskDemand, ResourceAmount::minus);
            taskCounts.merge(worker, 1, Integer::sum);
            chosen.add(worker);
        }
        return chosen;
    }
}
