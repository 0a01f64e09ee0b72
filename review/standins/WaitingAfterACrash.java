package review;

import java.util.ArrayList;
import java.util.List;

/**
 * An idle worker of a pool whose other workers are full crashes for good. Jobs that are accepted then are ordered to it in vain and
 * wait on. Then each entry is asked how many wait.
 */
public final class WaitingAfterACrash implements Case.Play {
    private static final List<String> SERVICES = List.of("pricing");
    private static final int WORKERS = 8;
    private static final int JOBS = 8;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.machines.add("pricing", WORKERS, 32_000, 131_072);
        world.configure(7, 120_000, 3, SERVICES, "regrades=pricing");
        world.startEntries(3, SERVICES);
        Client client = new Client(world);
        Entry first = world.entries.get(0);
        for (int i = 1; i < WORKERS; i++) {
            // Each takes a whole worker until after the case.
            client.submit(first, "regrades", new World.Job("00000000000001e" + i).step(1, 30_000, 64_000, 90_000), 3);
        }
        world.await(10_000, "all workers but one are full", () -> world.runs.size() == WORKERS - 1);
        Machines.Machine idle = world.machines.list.stream()
                .filter(machine -> machine.worker.runningCount() == 0)
                .findFirst()
                .orElseThrow();
        Thread.sleep(2_000);
        if (trouble) {
            world.machines.crash(idle);
        } else {
            // As full as the others, so that the jobs wait here too.
            client.submit(first, "regrades", new World.Job("00000000000001e0").step(1, 30_000, 64_000, 90_000), 3);
        }
        Thread.sleep(500);
        List<World.Job> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            World.Job job = new World.Job("00000000000000e" + i).step(1, 4_000, 4_096, 3_000);
            client.submit(first, "regrades", job, 3);
            jobs.add(job);
        }
        Thread.sleep(9_000);
        return world.verdict(Waiting.check(world, client, "regrades", jobs));
    }
}
