package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator removes a route and adds another of the same host and prefix with another service, in one version, while a job of the
 * first runs. Then a client asks for the job, and submits it again.
 */
public final class RouteReplaced implements Case.Play {
    private static final List<String> SERVICES = List.of("pricing", "matching");
    private static final long VISIBLE_MILLIS = 3_000;
    private static final long APPLY_MILLIS = 2_000;

    @Override
    public int run(World world, boolean trouble) throws Exception {
        world.machines.add("pricing", 2, 32_000, 131_072);
        world.machines.add("matching", 2, 32_000, 131_072);
        world.configure(7, 60_000, 3, SERVICES, "quotes=pricing", "matches=matching");
        world.startEntries(3, SERVICES);
        Client client = new Client(world);
        World.Job job = new World.Job("00000000000000a0").step(2, 2_000, 1_024, 14_000);
        client.submit(world.entries.get(0), "quotes", job, 3);
        Thread.sleep(VISIBLE_MILLIS + 500);
        if (trouble) {
            replaceRoute(world);
        }
        Thread.sleep(APPLY_MILLIS + 500);
        List<String> broken = new ArrayList<>();
        if (client.state(world.entries.get(1), "quotes", job.id).equals("410")) {
            broken.add("LOST GET of an accepted job is answered 410");
        }
        client.submitOnce(world.entries.get(2), "quotes", job);
        Thread.sleep(4_000);
        broken.addAll(world.runsTwice());
        return world.verdict(broken);
    }

    private static void replaceRoute(World world) {
        ObjectNode root = (ObjectNode) Http.parse(world.store.read("op/config").getBytes(StandardCharsets.UTF_8));
        ArrayNode routes = (ArrayNode) root.path("routes");
        ((ObjectNode) routes.get(0)).put("name", "quotes-of-the-dock").put("service", "matching");
        world.store.write("op/config", root.put("version", 9));
        world.record("operator: configuration 9 acknowledged: " + routes.get(0));
    }
}
