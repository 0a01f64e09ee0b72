package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The operator moves a queue from one service to another while the store turns one entry away. Clients' connections break
 * before they have an answer, and they submit again, at the entry that has not heard of the move.
 */
public final class SubmittedAgainAcrossAMove implements Case.Play {
    private static final List<String> SERVICES = List.of("pricing", "matching");
    private static final int JOBS = 8;
    private static final long BETWEEN_MILLIS = 20;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.machines.add("pricing", 2, 32_000, 131_072);
        world.machines.add("matching", 2, 32_000, 131_072);
        world.configure(7, 5_000, 3, SERVICES, "quotes=pricing", "matches=matching");
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
        World.Job warm = new World.Job("00000000000000b0").step(1, 1_000, 256, 200);
        client.submit(other, "quotes", warm, 10);
        client.submit(turnedAway, "quotes", new World.Job("00000000000000bf").step(1, 1_000, 256, 200), 10);
        if (trouble) {
            world.store.mode(turnedAway.name, Store.Mode.SILENT);
        }
        world.configure(9, 5_000, 3, SERVICES, "quotes=matching", "matches=matching");
        Thread.sleep(50);
        for (int i = 1; i <= JOBS; i++) {
            World.Job job = new World.Job("00000000000000b" + i).step(2, 1_000, 256, 3_000);
            client.submitOverABreakingConnection(other, "quotes", job);
            client.submitOnce(turnedAway, "quotes", job);
            Thread.sleep(BETWEEN_MILLIS);
        }
        Thread.sleep(6_000);
        world.store.mode(turnedAway.name, Store.Mode.SERVES);
        Thread.sleep(2_000);
        List<String> broken = new ArrayList<>(world.runsTwice());
        return world.verdict(broken);
    }
}
