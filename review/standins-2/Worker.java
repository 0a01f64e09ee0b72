import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A worker: one life of a machine. Orders, leases, ends, checkpoints and gangs are those of PROTOCOL.md. Guarded by the lab. */
final class Worker {
    static final class Run {
        String task;
        int number;
        String job;
        int occurrence;
        int step;
        int index;
        Lab.Step spec;
        String checkpoint;
        long startedAt;
        /** When the work began, 0 while a gang waits for its members. */
        long workSince;
        long restored;
        boolean fails;
        boolean stopping;
        long stopAt;

        String group() {
            return job + "." + occurrence + "." + step + "#" + number;
        }

        long progress(long now) {
            return workSince == 0 ? restored : restored + Math.max(0, now - workSince);
        }
    }

    final Lab lab;
    final String machine;
    final String service;
    final List<Object> labels;
    final long cpu;
    final long memory;
    final Http http;
    String id;
    boolean alive = true;
    /** Leaves all calls unanswered from now on. */
    boolean dark;
    boolean draining;
    boolean registered = true;
    long token;
    long until;
    long clockBase;
    long lateUntil;
    double lateShare;
    final Map<String, Run> running = new TreeMap<>();
    final List<List<Object>> ended = new ArrayList<>();
    final Map<String, Integer> closed = new HashMap<>();
    long endNumber;
    long seen;
    long sequence;

    Worker(Lab lab, String machine, String service, List<Object> labels, long cpu, long memory) throws Exception {
        this.lab = lab;
        this.machine = machine;
        this.service = service;
        this.labels = labels;
        this.cpu = cpu;
        this.memory = memory;
        this.http = new Http("127.0.0.1", this::handle);
        begin();
    }

    void begin() {
        id = "i-" + Long.toHexString(0x10000000L + lab.random.nextInt(0x6fffffff));
        alive = true;
        dark = false;
        token = 0;
        until = 0;
        clockBase = lab.random.nextInt(1_000_000);
        running.clear();
        ended.clear();
        closed.clear();
        endNumber = 0;
        seen = 0;
    }

    long clock() {
        return clockBase + (long) (Lab.now() * 0.99);
    }

    Map<String, Object> entry() {
        return Json.map("service", service, "machine", machine, "address", http.address(), "zone", "hall-ain", "version", "v1",
                "slots", 8, "state", draining ? "draining" : "ready", "coldRemainingMs", 0,
                "capacity", Json.map("cpu", cpu, "memMb", memory, "gpu", 0), "labels", labels,
                "clockMs", clock(), "sequence", ++sequence);
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        long waitUntil = Lab.now() + Json.number(call.body, "waitMs");
        synchronized (lab) {
            if (!alive || dark) {
                return null;
            }
            if (call.path.equals("/health")) {
                return new Http.Answer(200, null);
            }
            String expected = call.header("X-Trefoilpost-Expected-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                return answer(421, null);
            }
            if (Lab.now() < lateUntil && lab.random.nextDouble() < lateShare) {
                String addressed = id;
                long delay = 2_000 + lab.random.nextInt(10_000);
                lab.record("late", id + " " + call.path + " " + Json.write(call.body) + " in " + delay);
                Http.THREADS.execute(() -> {
                    Lab.sleep(delay);
                    synchronized (lab) {
                        if (alive && id.equals(addressed)) {
                            order(call);
                        }
                    }
                });
                return null;
            }
            Http.Answer answer = order(call);
            if (!call.path.equals("/hold") || answer.status() != 200) {
                return answer;
            }
            String addressed = id;
            while (ended.isEmpty() && Lab.now() < waitUntil) {
                lab.wait(Math.min(20, Math.max(1, waitUntil - Lab.now())));
                if (!alive || dark || !id.equals(addressed)) {
                    return null;
                }
            }
            return status();
        }
    }

    private Http.Answer order(Http.Call call) {
        Map<String, Object> body = call.body;
        long orderToken = Json.number(body, "fencingToken");
        if (orderToken < token) {
            return answer(409, "fence");
        }
        token = orderToken;
        switch (call.path) {
            case "/run-start":
                return start(body);
            case "/run-stop":
                return stop(Json.text(body, "task"), (int) Json.number(body, "run"));
            case "/hold":
                if (body.containsKey("untilMs")) {
                    until = Math.max(until, Math.min(Json.number(body, "untilMs"), clock() + lab.holdMaxMs));
                }
                seen = Math.max(seen, Json.number(body, "lastSeen"));
                ended.removeIf(end -> {
                    boolean gone = (Long) end.get(0) <= seen;
                    if (gone) {
                        lab.checks.noted((String) end.get(1), ((Number) end.get(2)).intValue(), (String) end.get(3));
                    }
                    return gone;
                });
                return status();
            case "/pace":
                return answer(200, null);
            default:
                return answer(400, null);
        }
    }

    private Http.Answer start(Map<String, Object> body) {
        String task = Json.text(body, "task");
        int number = (int) Json.number(body, "run");
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return answer(200, null);
        }
        if (present != null || number <= closed.getOrDefault(task, 0)) {
            until = Math.max(until, Math.min(Json.number(body, "untilMs"), clock() + lab.holdMaxMs));
            return answer(409, "old");
        }
        if (Json.number(body, "untilMs") <= clock()) {
            return answer(409, "late");
        }
        String[] parts = task.split("\\.");
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.job = parts[0];
        run.occurrence = Integer.parseInt(parts[1]);
        run.step = Integer.parseInt(parts[2]);
        run.index = Integer.parseInt(parts[3]);
        run.checkpoint = Json.text(body, "checkpoint");
        run.startedAt = Lab.now();
        run.spec = lab.step(run.job, run.step);
        if (run.spec != null && lab.advice != null && !lab.advice.isValid(run.job + "." + run.occurrence + "." + run.step, id, Json.text(body, "ticket"))) {
            return answer(409, "ticket");
        }
        lab.checks.started(this, run, Json.text(body, "spec"));
        if (run.spec == null) {
            return answer(400, null);
        }
        until = Math.max(until, Math.min(Json.number(body, "untilMs"), clock() + lab.holdMaxMs));
        run.restored = run.checkpoint.isEmpty() ? 0 : Long.parseLong(run.checkpoint.substring(0, 8), 16);
        run.fails = lab.random.nextDouble() < run.spec.failShare;
        running.put(task, run);
        if (!run.spec.gang) {
            run.workSince = run.startedAt + (run.checkpoint.isEmpty() ? 0 : lab.restoreMs);
        }
        return answer(200, null);
    }

    private Http.Answer stop(String task, int number) {
        Run run = running.get(task);
        if (run != null && run.number <= number) {
            if (!run.stopping) {
                run.stopping = true;
                run.stopAt = Lab.now() + lab.stopMs / 2;
            }
        }
        closed.merge(task, number, Math::max);
        return answer(200, null);
    }

    private Http.Answer answer(int status, String reason) {
        Map<String, Object> body = Json.map("clockMs", clock());
        if (reason != null) {
            body.put("reason", reason);
        }
        return new Http.Answer(status, body);
    }

    private Http.Answer status() {
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long progress = run.progress(Lab.now());
            long percent = run.spec.lasts
                    ? (Lab.now() - run.startedAt > 700 ? 100 : 50)
                    : Math.min(99, 100 * progress / run.spec.workMs);
            rows.add(List.of(run.task, run.number, run.checkpoint, percent, 0));
        }
        return new Http.Answer(200, Json.map("clockMs", clock(), "running", rows, "ended", new ArrayList<>(ended.subList(0, Math.min(500, ended.size())))));
    }

    String checkpointAt(Run run, long progress) {
        return String.format("%08x", progress) + run.job.substring(0, 8);
    }

    /** Advances the runs; called every few milliseconds. */
    void advance(long now) {
        if (!alive) {
            return;
        }
        boolean lapsed = clock() >= until;
        for (Run run : List.copyOf(running.values())) {
            if (!running.containsKey(run.task)) {
                continue;
            }
            if (lapsed) {
                end(run, "lapsed", now);
                continue;
            }
            if (run.stopping && now >= run.stopAt) {
                end(run, "stopped", now);
                continue;
            }
            if (run.spec.gang && run.workSince == 0) {
                List<Run> members = lab.members(run);
                if (members.size() == run.spec.count) {
                    long restored = members.stream().mapToLong(member -> member.restored).min().orElse(0);
                    members.forEach(member -> {
                        member.restored = restored;
                        member.workSince = now;
                    });
                    lab.record("gang-began", run.group() + " at " + restored);
                } else if (now - run.startedAt > lab.gangWaitMs) {
                    end(run, "alone", now);
                }
                continue;
            }
            long progress = run.progress(now);
            if (run.spec.checkpointing && progress > 0) {
                long saved = progress / lab.saveIntervalMs * lab.saveIntervalMs;
                if (saved > 0 && saved > run.restored) {
                    setCheckpoint(run, saved);
                }
            }
            if (run.fails && progress > run.spec.workMs / 2) {
                end(run, "failed", now);
            } else if (!run.spec.lasts && progress >= run.spec.workMs) {
                List<Run> members = run.spec.gang ? lab.members(run) : List.of(run);
                for (Run member : members) {
                    lab.workerOf(member).end(member, "done", now);
                }
            }
        }
    }

    private void setCheckpoint(Run run, long saved) {
        String value = checkpointAt(run, saved);
        if (!value.equals(run.checkpoint)) {
            run.checkpoint = value;
            lab.checks.produced(run, value);
        }
    }

    void end(Run run, String how, long now) {
        if (running.remove(run.task) == null) {
            return;
        }
        if (how.equals("stopped") && run.spec.checkpointing && run.workSince > 0) {
            setCheckpoint(run, Math.max(1, run.progress(now)));
        }
        closed.merge(run.task, run.number, Math::max);
        ended.add(List.of(++endNumber, run.task, run.number, how, run.spec.checkpointing ? run.checkpoint : ""));
        lab.checks.ended(this, run, how);
        if (run.spec.gang && run.workSince > 0 && !how.equals("done")) {
            for (Run member : lab.members(run)) {
                lab.workerOf(member).end(member, "broken", now);
            }
        }
        lab.notifyAll();
    }

    /** Ends the worker at once; nothing of it is listed any more. */
    void crash() {
        alive = false;
        List<Run> lost = List.copyOf(running.values());
        running.clear();
        for (Run run : lost) {
            lab.checks.ended(this, run, "lost");
            if (run.spec.gang && run.workSince > 0) {
                for (Run member : lab.members(run)) {
                    lab.workerOf(member).end(member, "broken", Lab.now());
                }
            }
        }
        lab.notifyAll();
    }
}
