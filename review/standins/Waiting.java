package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Asks each entry how many jobs of a queue wait, and compares that with what has begun. */
final class Waiting {
    /** {@code visible_ms} and 2 s. */
    private static final long KNOWN_AFTER_MILLIS = 3_000 + 2_000;

    private Waiting() {}

    static List<String> check(World world, Client client, String queue, List<World.Job> jobs) throws Exception {
        List<String> broken = new ArrayList<>();
        for (Entry entry : world.entries) {
            long asked = world.now();
            Client.Answer answer = client.send(entry, "GET", "/" + queue + "/", new byte[0]);
            if (answer.status() != 200) {
                throw new World.CannotRun(entry.name + " answers " + answer.status());
            }
            int said = Http.parse(answer.body().getBytes(StandardCharsets.UTF_8)).path("waiting").asInt();
            long waiting;
            synchronized (world) {
                waiting = jobs.stream()
                        .filter(job -> job.acceptedMillis >= 0
                                && job.acceptedMillis <= asked - KNOWN_AFTER_MILLIS
                                && !world.runs.containsKey(job.id + ".0.0.0"))
                        .count();
            }
            world.record("waiting, says " + entry.name + ": " + said + "; accepted over 5 s before and not begun: " + waiting);
            if (2 * said < waiting) {
                broken.add("MIXED " + entry.name + " gives " + said + " as waiting, while " + waiting + " jobs wait");
            }
        }
        return broken;
    }
}
