package org.trefoilpost.standins.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The tasks of a worker, one a job: the job's latest epoch fences off the older ones.
 */
final class TaskTable {
    private final Map<String, Task> tasks = new TreeMap<>();

    TaskTable() {}

    Optional<Task> find(String job) {
        return Optional.ofNullable(tasks.get(job));
    }

    Collection<Task> all() {
        return tasks.values();
    }

    long running() {
        return tasks.values().stream().filter(Task::isRunning).count();
    }

    int slotsUsed() {
        return tasks.values().stream()
                .filter(Task::isRunning)
                .mapToInt(task -> task.spec().slots())
                .sum();
    }

    /**
     * Returns whether a start beside the running tasks, without the one it takes the place of, fits a worker.
     */
    boolean fits(String job, TaskSpec spec, WorkerSettings settings, int freeSlots) {
        int cores = spec.cores();
        long memoryMb = spec.memoryMb();
        int accelerators = spec.accelerators();
        int slots = spec.slots();
        for (Task task : tasks.values()) {
            if (task.isRunning() && !task.job().equals(job)) {
                cores += task.spec().cores();
                memoryMb += task.spec().memoryMb();
                accelerators += task.spec().accelerators();
                slots += task.spec().slots();
            }
        }
        return cores <= settings.cores()
                && memoryMb <= settings.memoryMb()
                && accelerators <= settings.accelerators()
                && slots <= freeSlots;
    }

    void put(Task task) {
        tasks.put(task.job(), task);
    }

    /**
     * Advances all tasks and returns those that ended by it.
     */
    List<Task> advance(long nowMillis) {
        List<Task> ended = new ArrayList<>();
        for (Task task : tasks.values()) {
            boolean ran = task.isRunning();
            task.advance(nowMillis);
            if (ran && !task.isRunning()) {
                ended.add(task);
            }
        }
        return ended;
    }

    void clear() {
        tasks.clear();
    }
}
