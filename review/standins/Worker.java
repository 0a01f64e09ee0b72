package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One life of a worker on a machine. */
final class Worker {
    static final int ENDS_AT_A_TIME = 500;
    private static final long HOLD_MAX_MILLIS = 10_000;

    final String id;
    final String pool;
    private final World world;
    private final long bornMillis;
    private final Map<String, Run> running = new HashMap<>();
    private final Map<String, Integer> lastRun = new HashMap<>();
    private final List<Run> ended = new ArrayList<>();
    private final List<Hold> holds = new ArrayList<>();
    boolean up = true;
    /** Whether the worker is cut off from all entries: calls reach it no more, and it runs on. */
    boolean cutOff;
    private long fence;
    private long leaseMillis;
    private long lastNumber;
    private long sequence;
    int mostUnnotedEnds;

    Worker(World world, String id, String pool) {
        this.world = world;
        this.id = id;
        this.pool = pool;
        this.bornMillis = world.now() - 1_000;
    }

    private long clock() {
        return world.now() - bornMillis;
    }

    void beat(Machines.Machine machine) {
        ObjectNode entry = Http.object()
                .put("service", pool)
                .put("address", machine.address)
                .put("machine", machine.name)
                .put("zone", "hall-ain")
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("coldRemainingMs", 0)
                .put("clockMs", clock())
                .put("sequence", ++sequence);
        entry.putObject("capacity").put("cpu", machine.cpu).put("memMb", machine.memMb).put("gpu", 0);
        entry.putArray("labels").add("a").add("r1-1");
        world.store.write("servers/" + id, entry);
    }

    void handle(Http.Call call) {
        if (!up || cutOff) {
            // As from a machine without power or behind a partition: no answer, and nothing is done.
            return;
        }
        String expected = call.header("X-Trefoilpost-Expected-Instance");
        if (call.path.equals("/health")) {
            call.answer(200, null);
            return;
        }
        if (expected != null && !expected.equals(id)) {
            call.answer(421, Http.object().put("clockMs", clock()));
            return;
        }
        JsonNode body = call.json();
        long token = body.path("fencingToken").asLong();
        if (token < fence) {
            reject(call, "fence");
            return;
        }
        fence = token;
        switch (call.path) {
            case "/run-start" -> start(call, body);
            case "/run-stop" -> stop(call, body);
            case "/hold" -> hold(call, body);
            case "/pace" -> call.answer(200, Http.object().put("clockMs", clock()));
            default -> call.answer(400, null);
        }
    }

    private void reject(Http.Call call, String reason) {
        call.answer(409, Http.object().put("clockMs", clock()).put("reason", reason));
    }

    private void lease(long untilMs) {
        leaseMillis = Math.max(leaseMillis, Math.min(untilMs, clock() + HOLD_MAX_MILLIS));
    }

    private void start(Http.Call call, JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        long untilMs = body.path("untilMs").asLong();
        Run present = running.get(task);
        lease(untilMs);
        if (present != null && present.number == number) {
            call.answer(200, Http.object().put("clockMs", clock()));
            return;
        }
        if (present != null || number <= lastRun.getOrDefault(task, 0)) {
            reject(call, "old");
            return;
        }
        if (untilMs <= clock()) {
            reject(call, "late");
            return;
        }
        World.Job job = world.jobs.get(task.split("\\.")[0]);
        if (job == null) {
            world.record("UNASKED " + task + " on " + id);
            call.answer(400, null);
            return;
        }
        Run run = new Run();
        run.worker = this;
        run.task = task;
        run.number = number;
        run.startMillis = world.now();
        running.put(task, run);
        lastRun.put(task, number);
        world.runs.computeIfAbsent(task, key -> new ArrayList<>()).add(run);
        world.record("start " + task + " run " + number + " on " + id + " token " + fence);
        int step = Integer.parseInt(task.split("\\.")[2]);
        run.runMillis = job.runMillis(step, world.now());
        run.cpu = job.steps.get(step).cpu();
        world.after(run.runMillis, () -> {
            if (running.get(task) == run) {
                end(run, "done");
            }
        });
        call.answer(200, Http.object().put("clockMs", clock()));
        world.machines.started(run);
    }

    private void stop(Http.Call call, JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        lastRun.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number == number) {
            end(run, "stopped");
        }
        call.answer(200, Http.object().put("clockMs", clock()));
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        run.how = how;
        run.endMillis = world.now();
        run.endNumber = ++lastNumber;
        ended.add(run);
        mostUnnotedEnds = Math.max(mostUnnotedEnds, ended.size());
        world.record("end " + run.task + " run " + run.number + " on " + id + " " + how);
        List<Hold> waiting = List.copyOf(holds);
        holds.clear();
        waiting.forEach(hold -> answer(hold.call));
    }

    private void hold(Http.Call call, JsonNode body) {
        long lastSeen = body.path("lastSeen").asLong();
        tick();
        ended.removeIf(run -> {
            boolean seen = run.endNumber <= lastSeen;
            run.noted |= seen && !run.lapsedSince;
            return seen;
        });
        if (body.has("untilMs")) {
            lease(body.path("untilMs").asLong());
        }
        long waitMs = Math.min(2_000, body.path("waitMs").asLong());
        if (waitMs <= 0 || !ended.isEmpty()) {
            answer(call);
            return;
        }
        Hold hold = new Hold();
        hold.call = call;
        holds.add(hold);
        world.after(waitMs, () -> {
            if (holds.remove(hold)) {
                answer(call);
            }
        });
    }

    private void answer(Http.Call call) {
        if (!up || cutOff) {
            return;
        }
        ObjectNode body = Http.object().put("clockMs", clock());
        ArrayNode list = body.putArray("running");
        for (Run run : running.values()) {
            list.addArray()
                    .add(run.task)
                    .add(run.number)
                    .add("")
                    .add(Math.min(99, 100 * (world.now() - run.startMillis) / Math.max(1, run.runMillis)))
                    .add(run.cpu);
        }
        ArrayNode ends = body.putArray("ended");
        ended.stream()
                .limit(ENDS_AT_A_TIME)
                .forEach(run ->
                        ends.addArray().add(run.endNumber).add(run.task).add(run.number).add(run.how).add(""));
        call.answer(200, body);
    }

    /** Ends what runs without a lease. */
    void tick() {
        if (up && clock() >= leaseMillis) {
            List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
            ended.forEach(run -> run.lapsedSince = true);
        }
    }

    /** Ends the life of the worker with all that runs on it. */
    void die() {
        up = false;
        for (Run run : List.copyOf(running.values())) {
            run.how = "gone";
            run.endMillis = world.now();
            world.record("end " + run.task + " run " + run.number + " on " + id + " gone with its worker");
        }
        running.clear();
    }

    int runningCount() {
        return running.size();
    }

    private static final class Hold {
        private Http.Call call;
    }

    /** A run of a task. */
    static final class Run {
        Worker worker;
        String task;
        int number;
        int cpu;
        long runMillis;
        long startMillis;
        long endMillis = -1;
        long endNumber;
        String how = "";
        /** Whether the worker's lease has lapsed since the run's end, so that the end does not count as taken note of. */
        boolean lapsedSince;
        /** Whether {@code lastSeen} has reached the run's end. */
        boolean noted;
    }
}
