package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operator moves a queue from one service to another while the store turns one entry away. Clients submit jobs at another entry
 * and cancel them at the one that has not heard of the move.
 */
public final class CancelledAcrossAMove implements Case.Play {
    private static final List<String> SERVICES = List.of("pricing", "matching");
    private static final int JOBS = 4;
    private static final long CUT_MILLIS = 1_200;
    /** {@code cancel_ms} of the settings. */
    private static final long CANCEL_MILLIS = 3_000;
    /** {@code stableWindowMs} of the settings, after which calm entries are in touch again. */
    private static final long STABLE_MILLIS = 3_000;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.machines.add("pricing", 2, 32_000, 131_072);
        world.machines.add("matching", 2, 32_000, 131_072);
        world.configure(7, 20_000, 3, SERVICES, "quotes=pricing", "matches=matching");
        world.startEntries(4, SERVICES);
        Set<Entry> owners = Set.of(world.owner("pricing"), world.owner("matching"));
        Entry turnedAway = world.entries.stream()
                .filter(entry -> !owners.contains(entry))
                .findFirst()
                .orElseThrow();
        Entry other = world.entries.stream()
                .filter(entry -> entry != turnedAway)
                .findFirst()
                .orElseThrow();
        world.record("owner of pricing: " + world.owner("pricing").name + ", of matching: "
                + world.owner("matching").name + "; turned away: " + turnedAway.name);
        Client client = new Client(world);
        client.submit(other, "quotes", new World.Job("00000000000000f0").step(1, 1_000, 256, 200), 10);
        client.submit(turnedAway, "quotes", new World.Job("00000000000000ff").step(1, 1_000, 256, 200), 10);
        long inTouchFrom;
        if (trouble) {
            world.store.mode(turnedAway.name, Store.Mode.SILENT);
            world.after(CUT_MILLIS, () -> world.store.mode(turnedAway.name, Store.Mode.SERVES));
            inTouchFrom = world.now() + CUT_MILLIS + STABLE_MILLIS + 200;
        } else {
            inTouchFrom = world.now();
        }
        world.configure(9, 20_000, 3, SERVICES, "quotes=matching", "matches=matching");
        Thread.sleep(50);
        Map<String, Long> cancelled = new HashMap<>();
        for (int i = 1; i <= JOBS; i++) {
            World.Job job = new World.Job("00000000000000f" + i);
            job.inTurn = true;
            job.step(2, 1_000, 256, 2_500).step(2, 1_000, 256, 2_500).step(2, 1_000, 256, 2_500).step(2, 1_000, 256, 2_500);
            client.submitOnce(other, "quotes", job);
            Client.Answer answer = client.send(turnedAway, "DELETE", "/quotes/" + job.id, new byte[0]);
            if (answer.status() / 100 == 2 || answer.status() == 410) {
                cancelled.put(job.id, world.now());
            }
        }
        Thread.sleep(12_000);
        if (cancelled.isEmpty()) {
            throw new World.CannotRun("no cancelling was acknowledged");
        }
        List<String> broken = new ArrayList<>();
        synchronized (world) {
            world.runs.forEach((task, runs) -> {
                Long acknowledged = cancelled.get(task.split("\\.")[0]);
                for (Worker.Run run : runs) {
                    if (acknowledged != null && run.startMillis > inTouchFrom
                            && run.startMillis > acknowledged + CANCEL_MILLIS) {
                        broken.add("UNASKED " + task + " starts " + (run.startMillis - acknowledged)
                                + " ms after its job's cancelling was acknowledged");
                    }
                }
            });
        }
        return world.verdict(broken);
    }
}
