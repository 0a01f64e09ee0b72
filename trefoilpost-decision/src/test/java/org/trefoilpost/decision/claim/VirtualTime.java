package org.trefoilpost.decision.claim;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their times, and of their planning where times are equal. */
final class VirtualTime {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.<Task>comparingLong(task -> task.at).thenComparingLong(task -> task.number));
    private long now;
    private long nextNumber;

    VirtualTime(long now) {
        this.now = now;
    }

    long now() {
        return now;
    }

    void at(long time, Runnable action) {
        tasks.add(new Task(Math.max(time, now), nextNumber++, action));
    }

    void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    void runUntilIdle() {
        while (!tasks.isEmpty()) {
            Task task = tasks.remove();
            now = task.at;
            task.action.run();
        }
    }

    /** A task with its time. */
    private static final class Task {
        private final long at;
        private final long number;
        private final Runnable action;

        private Task(long at, long number, Runnable action) {
            this.at = at;
            this.number = number;
            this.action = action;
        }
    }
}
