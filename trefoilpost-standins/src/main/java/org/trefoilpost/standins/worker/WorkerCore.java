package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.Json;

/**
 * A worker's state: its mode, its running requests and its tasks. The time is passed in.
 */
final class WorkerCore {
    private final WorkerSettings settings;
    private final RunLog log;
    private final TaskTable tasks = new TaskTable();
    private final WorkerCounters counters = new WorkerCounters();
    private WorkerFaults faults = WorkerFaults.none();
    private WorkerMode mode = WorkerMode.LIVE;
    private long incarnation;
    private int inFlight;

    WorkerCore(WorkerSettings settings, RunLog log, long incarnation) {
        this.settings = settings;
        this.log = log;
        this.incarnation = incarnation;
    }

    synchronized WorkerMode mode() {
        return mode;
    }

    synchronized long incarnation() {
        return incarnation;
    }

    synchronized WorkerFaults faults() {
        return faults;
    }

    synchronized void started(long nowMillis) {
        write(Json.object(), "start", nowMillis);
    }

    /**
     * Lets a request run, or returns the reason for rejecting it before it starts.
     */
    synchronized Optional<String> begin(WorkerRequest request, long nowMillis) {
        Optional<String> rejection = rejection(request);
        if (rejection.isPresent()) {
            counters.rejected(rejection.get());
            return rejection;
        }
        inFlight++;
        counters.started(inFlight);
        write(request.toJson(), "request-start", nowMillis);
        return Optional.empty();
    }

    private Optional<String> rejection(WorkerRequest request) {
        if (mode != WorkerMode.LIVE) {
            return Optional.of(mode == WorkerMode.LEAVING ? "leaving" : "stopped");
        }
        if (request.isLate()) {
            return Optional.of("deadline");
        }
        boolean full = !faults.hangs() && inFlight + tasks.slotsUsed() >= settings.slots();
        return full || faults.rejectsAll() ? Optional.of("slots") : Optional.empty();
    }

    synchronized void end(WorkerRequest request, int status, long nowMillis) {
        inFlight--;
        counters.ended();
        write(request.toJson().put("status", status), "request-end", nowMillis);
        finishStop(nowMillis);
    }

    /**
     * Does what time brings: tasks end and a stop that waits for them comes to its end.
     */
    synchronized void tick(long nowMillis) {
        tasks.advance(nowMillis).forEach(task -> writeEnd(task, nowMillis));
        if (faults.failsTasks()) {
            tasks.all().forEach(task -> endTask(task, TaskState.FAILED, nowMillis));
        }
        finishStop(nowMillis);
    }

    synchronized boolean stop(long expectedIncarnation, long nowMillis) {
        if (expectedIncarnation != incarnation || mode == WorkerMode.REBOOTING) {
            return false;
        }
        if (mode == WorkerMode.LIVE || mode == WorkerMode.LEAVING) {
            mode = WorkerMode.STOPPING;
            write(Json.object(), "stop", nowMillis);
            finishStop(nowMillis);
        }
        return true;
    }

    private void finishStop(long nowMillis) {
        if (mode == WorkerMode.STOPPING && !isBusy()) {
            mode = WorkerMode.STOPPED;
            write(Json.object(), "stopped", nowMillis);
        }
    }

    private boolean isBusy() {
        return inFlight > 0 || tasks.running() > 0;
    }

    synchronized boolean reboot(long expectedIncarnation, long nowMillis) {
        if (expectedIncarnation != incarnation || mode != WorkerMode.STOPPED || isBusy()) {
            return false;
        }
        mode = WorkerMode.REBOOTING;
        write(Json.object(), "reboot", nowMillis);
        return true;
    }

    /**
     * Brings the worker back after a reboot, without its faults and tasks.
     */
    synchronized void comeBack(long nowMillis) {
        incarnation++;
        mode = WorkerMode.LIVE;
        faults = WorkerFaults.none();
        tasks.clear();
        started(nowMillis);
    }

    synchronized ObjectNode changeFaults(ObjectNode change) {
        faults = faults.with(change);
        if (change.path("leaving").asBoolean() && mode == WorkerMode.LIVE) {
            mode = WorkerMode.LEAVING;
        } else if (change.has("leaving") && !change.path("leaving").asBoolean() && mode == WorkerMode.LEAVING) {
            mode = WorkerMode.LIVE;
        }
        return faults.toJson().put("leaving", mode == WorkerMode.LEAVING);
    }

    synchronized HttpAnswer putTask(String job, long epoch, TaskSpec spec, long leaseMillis, long nowMillis) {
        tick(nowMillis);
        Optional<Task> known = tasks.find(job);
        if (known.isPresent() && known.get().epoch() >= epoch) {
            return known.get().epoch() > epoch ? HttpAnswer.of(409) : renew(known.get(), leaseMillis, nowMillis);
        }
        if (mode != WorkerMode.LIVE) {
            return notStarted(mode == WorkerMode.LEAVING ? "leaving" : "stopped");
        }
        if (faults.rejectsAll() || !tasks.fits(job, spec, settings, settings.slots() - inFlight)) {
            return notStarted("slots");
        }
        known.ifPresent(older -> endTask(older, TaskState.SUPERSEDED, nowMillis));
        Task task = Task.start(job, epoch, spec, leaseMillis, nowMillis);
        tasks.put(task);
        write(Json.object().put("job", job).put("epoch", epoch), "task-start", nowMillis);
        return HttpAnswer.json(201, task.toJson());
    }

    private static HttpAnswer renew(Task task, long leaseMillis, long nowMillis) {
        if (!task.isRunning() && !task.state().isListed()) {
            return HttpAnswer.of(409);
        }
        task.renew(leaseMillis, nowMillis);
        return HttpAnswer.json(200, task.toJson());
    }

    static HttpAnswer notStarted(String reason) {
        HttpAnswer answer = HttpAnswer.of(503).with("Worker-Not-Started", reason);
        return reason.equals("leaving") ? answer.with("Worker-Leaving", "true") : answer;
    }

    /**
     * Changes a task on behalf of the owner of its present epoch.
     */
    synchronized HttpAnswer changeTask(String job, long epoch, TaskChange change, long nowMillis) {
        tick(nowMillis);
        Optional<Task> known = tasks.find(job);
        if (known.isEmpty()) {
            return HttpAnswer.of(404);
        }
        if (known.get().epoch() != epoch) {
            return HttpAnswer.of(409);
        }
        boolean ran = known.get().isRunning();
        HttpAnswer answer = change.apply(known.get(), nowMillis);
        if (ran && !known.get().isRunning()) {
            writeEnd(known.get(), nowMillis);
            finishStop(nowMillis);
        }
        return answer;
    }

    private void endTask(Task task, TaskState state, long nowMillis) {
        if (task.isRunning()) {
            task.end(state);
            writeEnd(task, nowMillis);
        }
    }

    private void writeEnd(Task task, long nowMillis) {
        ObjectNode entry = Json.object()
                .put("job", task.job())
                .put("epoch", task.epoch())
                .put("state", task.state().code());
        write(entry, "task-end", nowMillis);
    }

    private void write(ObjectNode entry, String event, long nowMillis) {
        log.append(entry.put("time", nowMillis)
                .put("event", event)
                .put("worker", settings.id())
                .put("incarnation", incarnation));
    }

    synchronized ObjectNode status(long nowMillis) {
        tick(nowMillis);
        ObjectNode json = Json.object()
                .put("id", settings.id())
                .put("incarnation", incarnation)
                .put("state", mode.code())
                .put("inFlight", inFlight)
                .put("slots", settings.slots());
        ArrayNode list = json.putArray("tasks");
        for (Task task : tasks.all()) {
            if (task.state().isListed()) {
                list.add(task.toJson());
            }
        }
        return json;
    }

    synchronized ObjectNode counters() {
        return counters.toJson().put("inFlight", inFlight);
    }
}
