package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Two workers run a wide step of small tasks, which end at about the same time. The store is down for some seconds then. A worker lists at most 500 ends
 * at a time, and none of them is taken note of before the store is back.
 */
public final class EndsInAnOutage implements Case.Play {
    private static final int TASKS = 1_280;
    private static final long RUN_MILLIS = 4_000;
    private static final long OUTAGE_MILLIS = 4_500;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        List<String> services = List.of("pricing");
        world.machines.add("pricing", 2, 32_000, 131_072);
        world.configure(7, 20_000, 3, services, "quotes=pricing");
        world.startEntries(3, services);
        Client client = new Client(world);
        World.Job job = new World.Job("00000000000000a1").step(TASKS, 50, 64, RUN_MILLIS);
        job.endsTogether = true;
        client.submit(world.entries.get(0), "quotes", job, 10);
        world.await(5_000, "the first task starts", () -> !world.runs.isEmpty());
        Thread.sleep(RUN_MILLIS - 300);
        if (trouble) {
            world.store.modeOfAll(Store.Mode.BUSY);
            Thread.sleep(OUTAGE_MILLIS);
            world.store.modeOfAll(Store.Mode.SERVES);
        }
        Entry asked = world.entries.get(1);
        boolean completed = world.holdsWithin(30_000, () -> {
            Thread.sleep(500);
            return client.state(asked, "quotes", job.id).equals("completed");
        });
        Thread.sleep(2_000);
        List<String> broken = new ArrayList<>();
        synchronized (world) {
            world.machines.list.forEach(machine -> world.record("worker " + machine.worker.id + " had at most "
                    + machine.worker.mostUnnotedEnds + " ends that were not taken note of"));
            world.record("tasks started: " + world.runs.size() + " of " + TASKS + "; the job is "
                    + (completed ? "completed" : "not completed"));
            broken.addAll(world.runsTwice());
        }
        return world.verdict(broken);
    }
}
