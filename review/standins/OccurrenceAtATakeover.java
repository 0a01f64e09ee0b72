package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A scheduled job's time has come. The entry that has just ordered its task to a worker is killed, and the worker is cut off and
 * runs on.
 */
public final class OccurrenceAtATakeover implements Case.Play {
    private static final long CUT_MILLIS = 5_500;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        List<String> services = List.of("pricing");
        world.machines.add("pricing", 6, 32_000, 131_072);
        world.configure(7, 5_000, 3, services, "recounts=pricing");
        world.startEntries(3, services);
        Entry owner = world.owner("pricing");
        Entry other = world.entries.stream()
                .filter(entry -> entry != owner)
                .findFirst()
                .orElseThrow();
        world.record("owner of pricing: " + owner.name);
        Client client = new Client(world);
        World.Job job = new World.Job("00000000000000c1").step(1, 2_000, 1_024, 6_000);
        job.firstRunMs = System.currentTimeMillis() + 4_000;
        job.intervalMs = 60_000;
        job.repeatCount = 2;
        AtomicBoolean struck = new AtomicBoolean();
        if (trouble) {
            world.machines.onStart(run -> {
                if (run.task.startsWith(job.id) && struck.compareAndSet(false, true)) {
                    owner.kill();
                    world.record("worker " + run.worker.id + " is cut off and runs on");
                    run.worker.cutOff = true;
                    Worker cut = run.worker;
                    world.after(CUT_MILLIS, () -> {
                        world.record("worker " + cut.id + " is reached again");
                        cut.cutOff = false;
                    });
                }
            });
        }
        client.submit(other, "recounts", job, 10);
        Thread.sleep(4_000 + 20_000);
        List<String> broken = new ArrayList<>(world.runsTwice());
        if (world.runs.isEmpty() || trouble && !struck.get()) {
            throw new World.CannotRun("the scheduled task has not started");
        }
        return world.verdict(broken);
    }
}
