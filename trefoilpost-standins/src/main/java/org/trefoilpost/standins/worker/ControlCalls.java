package org.trefoilpost.standins.worker;

import java.util.function.LongSupplier;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.HttpCall;
import org.trefoilpost.standins.http.Json;

/**
 * The control calls of a worker.
 */
final class ControlCalls {
    private static final String TASKS_PATH = "/control/tasks/";

    private final WorkerCore core;
    private final LongSupplier clock;
    private final Runnable rebooting;

    ControlCalls(WorkerCore core, LongSupplier clock, Runnable rebooting) {
        this.core = core;
        this.clock = clock;
        this.rebooting = rebooting;
    }

    HttpAnswer handle(HttpCall call) {
        if (call.path().startsWith(TASKS_PATH)) {
            return task(call, call.path().substring(TASKS_PATH.length()));
        }
        return switch (call.method() + " " + call.path()) {
            case "GET /control/status" -> HttpAnswer.json(200, core.status(clock.getAsLong()));
            case "POST /control/stop" ->
                HttpAnswer.of(core.stop(call.number("incarnation"), clock.getAsLong()) ? 202 : 409);
            case "POST /control/reboot" -> reboot(call.number("incarnation"));
            default -> HttpAnswer.of(404);
        };
    }

    private HttpAnswer reboot(long incarnation) {
        if (!core.reboot(incarnation, clock.getAsLong())) {
            return HttpAnswer.of(409);
        }
        rebooting.run();
        return HttpAnswer.of(202);
    }

    private HttpAnswer task(HttpCall call, String jobAndVerb) {
        int slash = jobAndVerb.indexOf('/');
        String job = slash < 0 ? jobAndVerb : jobAndVerb.substring(0, slash);
        String verb = slash < 0 ? "" : jobAndVerb.substring(slash);
        long epoch = call.number("epoch");
        long now = clock.getAsLong();
        return switch (call.method() + " " + verb) {
            case "PUT " -> core.putTask(job, epoch, TaskSpec.of(Json.parse(call.body())), call.number("lease"), now);
            case "POST /checkpoint" -> core.changeTask(job, epoch, TaskChange.checkpoint(), now);
            case "POST /throttle" -> core.changeTask(job, epoch, TaskChange.throttle((int) call.number("share")), now);
            case "POST /stop" -> core.changeTask(job, epoch, TaskChange.stop(), now);
            default -> HttpAnswer.of(404);
        };
    }
}
