package org.trefoilpost.standins.worker;

import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.Json;

/**
 * A change of a task by a control call, with the call's answer.
 */
@FunctionalInterface
interface TaskChange {
    /**
     * Makes the change.
     */
    HttpAnswer apply(Task task, long nowMillis);

    /**
     * Returns the change that saves the progress and ends the task; once more, it returns the same checkpoint.
     */
    static TaskChange checkpoint() {
        return (task, nowMillis) -> {
            task.end(TaskState.CHECKPOINTED);
            return HttpAnswer.json(200, Json.object().put("checkpoint", task.checkpoint()));
        };
    }

    /**
     * Returns the change that limits the task to a share in percent.
     */
    static TaskChange throttle(int share) {
        return (task, nowMillis) -> {
            task.throttle(share, nowMillis);
            return HttpAnswer.json(200, task.toJson());
        };
    }

    /**
     * Returns the change that ends the task.
     */
    static TaskChange stop() {
        return (task, nowMillis) -> {
            task.end(TaskState.STOPPED);
            return HttpAnswer.of(200);
        };
    }
}
