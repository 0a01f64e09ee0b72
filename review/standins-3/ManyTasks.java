import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * Case: scheduled jobs with many tasks each, of which all are accepted, become due at the same time.
 */
public class ManyTasks {
    static final int JOBS = 40;
    static final long WATCH_MILLIS = 30_000;
    static final long GAP_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        int tasks = "0".equals(System.getenv("TROUBLE")) ? 10 : 10_000;
        Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
        int code = 2;
        String why = "not run";
        try {
            why = run(lab, tasks);
            code = why.startsWith("broken") ? 1 : why.startsWith("held") ? 0 : 2;
        } catch (Exception e) {
            why = "failed: " + e;
        } finally {
            lab.close(code, why);
        }
        System.exit(code);
    }

    static String run(Lab lab, int tasks) throws Exception {
        lab.configure(10, "pricing");
        for (int i = 1; i <= 8; i++) {
            lab.workers.add(lab.new Worker("w" + i, "pricing", "r1-" + (1 + i / 5), 400_000 + 1000L * i));
        }
        for (int i = 0; i < 3; i++) {
            Lab.Entry entry = lab.new Entry("front-hall-" + (i + 1), 11 + i);
            lab.entries.add(entry);
            entry.start();
        }
        if (!lab.await(25_000, () -> lab.entries.stream().allMatch(Lab.Entry::isReady))) {
            return "the entries are not ready";
        }
        Lab.sleep(3_000);
        long dueMillis = System.currentTimeMillis() + 20_000;
        int accepted = 0;
        for (int i = 0; i < JOBS; i++) {
            ObjectNode job = Lab.JSON.createObjectNode().put("spec", "50").put("firstRunMs", dueMillis)
                    .put("intervalMs", 60_000).put("repeatCount", 1);
            job.putArray("steps").addObject().put("count", tasks).put("cpu", 100).put("memMb", 16).put("estRuntimeMs", 50);
            accepted += lab.entries.get(i % 3).post(path(i), job).status() == 200 ? 1 : 0;
            Lab.sleep(200);
        }
        lab.note(accepted + " of " + JOBS + " jobs are accepted");
        if (accepted < JOBS) {
            return "not all jobs are accepted";
        }
        Lab.sleep(dueMillis - System.currentTimeMillis());
        lab.note("all jobs are due");
        long begunMillis = Lab.ms();
        long lastRunMillis = begunMillis;
        long longestGapMillis = 0;
        while (Lab.ms() - begunMillis < WATCH_MILLIS && doneTasks(lab) < (long) JOBS * tasks) {
            Lab.sleep(10);
            lastRunMillis = anyRuns(lab) ? Lab.ms() : lastRunMillis;
            longestGapMillis = Math.max(longestGapMillis, Lab.ms() - lastRunMillis);
        }
        lab.note(doneTasks(lab) + " of " + JOBS * tasks + " tasks are done; the longest time in which nothing ran, with "
                + "jobs that are due and all workers idle, was " + longestGapMillis + " ms");
        long ended = lab.entries.stream().filter(entry -> !entry.process.isAlive()).count();
        lab.entries.forEach(entry -> lab.note("entry " + entry.name
                + (entry.process.isAlive() ? " runs" : " has ended by itself with " + entry.process.exitValue())));
        int unanswered = 0;
        for (int i = 0; i < JOBS; i += 20) {
            boolean answered = false;
            for (Lab.Entry entry : lab.entries) {
                answered = answered || entry.get(path(i)).status() == 200;
            }
            unanswered += answered ? 0 : 1;
        }
        String seen = ended + " of 3 entries have ended by themselves; nothing ran for " + longestGapMillis
                + " ms; " + unanswered + " of 3 accepted jobs that were asked for got no answer from any entry";
        return ended == 0 && unanswered == 0 && longestGapMillis < GAP_MILLIS ? "held: " + seen : "broken: " + seen;
    }

    private static long doneTasks(Lab lab) {
        return lab.doneEnds.values().stream().filter(ends -> !ends.isEmpty()).count();
    }

    private static boolean anyRuns(Lab lab) {
        synchronized (lab.running) {
            lab.running.values().removeIf(java.util.List::isEmpty);
            return !lab.running.isEmpty();
        }
    }

    private static String path(int job) {
        return "/pricing/" + String.format("%016x", 0xabc00000L + job);
    }
}
