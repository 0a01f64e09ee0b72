package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The operator moves a queue from one service to another while accepted jobs of the queue wait at the former one. Then each entry
 * is asked how many wait.
 */
public final class WaitingAfterAMove implements Case.Play {
    private static final List<String> SERVICES = List.of("pricing", "matching");
    private static final int JOBS = 10;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.machines.add("pricing", 2, 32_000, 131_072);
        world.machines.add("matching", 2, 32_000, 131_072);
        world.configure(7, 60_000, 3, SERVICES, "regrades=pricing", "matches=matching");
        world.startEntries(3, SERVICES);
        Client client = new Client(world);
        Entry first = world.entries.get(0);
        List<World.Job> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            // A task takes a whole worker, so two jobs run at a time.
            World.Job job = new World.Job("00000000000000d" + i).step(1, 30_000, 64_000, 6_000);
            client.submit(first, "regrades", job, 3);
            jobs.add(job);
        }
        Thread.sleep(6_000);
        if (trouble) {
            world.configure(9, 60_000, 3, SERVICES, "regrades=matching", "matches=matching");
        }
        Thread.sleep(4_000);
        return world.verdict(Waiting.check(world, client, "regrades", jobs));
    }
}
