package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The machines with their workers, and the platform's service that lists and moves them. */
final class Machines {
    private static final long BEAT_MILLIS = 1_500;
    private static final long MOVE_MILLIS = 1_500;

    final List<Machine> list = new ArrayList<>();
    private final World world;
    private int lastWorker;
    private Consumer<Worker.Run> onStart = run -> {};

    Machines(World world) {
        this.world = world;
        world.every(BEAT_MILLIS, () -> list.forEach(machine -> {
            if (machine.worker != null && machine.worker.up) {
                machine.worker.beat(machine);
            }
        }));
        world.every(20, () -> list.forEach(machine -> {
            if (machine.worker != null) {
                machine.worker.tick();
            }
        }));
    }

    /** Sets what happens at once when a worker has begun a run. */
    void onStart(Consumer<Worker.Run> action) {
        onStart = action;
    }

    void started(Worker.Run run) {
        onStart.accept(run);
    }

    void add(String pool, int count, int cpu, int memMb) throws Exception {
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine();
            machine.name = "m-" + (list.size() + 1);
            machine.cpu = cpu;
            machine.memMb = memMb;
            machine.address = Http.listen("127.0.0.1", call -> {
                synchronized (world) {
                    if (machine.worker != null) {
                        machine.worker.handle(call);
                    }
                }
            });
            synchronized (world) {
                list.add(machine);
                boot(machine, pool);
            }
        }
    }

    private void boot(Machine machine, String pool) {
        machine.pool = pool;
        machine.state = "up";
        if (!pool.equals("spare")) {
            machine.worker = new Worker(world, "i-" + (++lastWorker), pool);
            machine.worker.beat(machine);
        }
    }

    /** Lets a machine's worker crash for good; it falls silent, and its entry is removed after three heartbeats. */
    void crash(Machine machine) {
        synchronized (world) {
            Worker crashed = machine.worker;
            world.record("worker " + crashed.id + " crashes for good");
            crashed.die();
            machine.worker = null;
            machine.state = "down";
            world.after(3 * BEAT_MILLIS, () -> world.store.delete("servers/" + crashed.id));
        }
    }

    String open() throws Exception {
        return Http.listen("127.0.0.1", call -> {
            synchronized (world) {
                handle(call);
            }
        });
    }

    private void handle(Http.Call call) {
        if (call.path.equals("/machines")) {
            ObjectNode body = Http.object();
            ArrayNode rows = body.putArray("machines");
            for (Machine machine : list) {
                ObjectNode row = rows.addObject()
                        .put("machine", machine.name)
                        .put("pool", machine.pool)
                        .put("state", machine.state)
                        .put("zone", "hall-ain");
                row.putArray("labels").add("a").add("r1-1");
                row.putObject("capacity").put("cpu", machine.cpu).put("memMb", machine.memMb).put("gpu", 0);
                if (machine.worker != null && machine.worker.up) {
                    row.put("id", machine.worker.id);
                }
            }
            call.answer(200, body.putNull("nextToken"));
            return;
        }
        JsonNode body = call.json();
        Machine machine = list.stream()
                .filter(candidate -> candidate.name.equals(body.path("machine").asText()))
                .findFirst()
                .orElse(null);
        if (machine == null || !call.path.equals("/machine-move")) {
            call.answer(400, null);
            return;
        }
        long token = Long.parseLong(call.header("X-Trefoilpost-Fencing-Token"));
        String pool = body.path("pool").asText();
        if (token < machine.fence) {
            call.answer(409, Http.object().put("reason", "fence"));
            return;
        }
        machine.fence = token;
        if (machine.pool.equals(pool)) {
            call.answer(200, Http.object());
            return;
        }
        if (!machine.state.equals("up")) {
            call.answer(409, Http.object().put("reason", "busy"));
            return;
        }
        world.record("move of " + machine.name + " from " + machine.pool + " to " + pool);
        machine.state = "moving";
        machine.pool = pool;
        if (machine.worker != null) {
            Worker left = machine.worker;
            left.die();
            machine.worker = null;
            world.after(3 * BEAT_MILLIS, () -> world.store.delete("servers/" + left.id));
        }
        world.after(MOVE_MILLIS, () -> boot(machine, pool));
        call.answer(200, Http.object());
    }

    static final class Machine {
        String name;
        String address;
        String pool;
        String state;
        int cpu;
        int memMb;
        Worker worker;
        private long fence;
    }
}
