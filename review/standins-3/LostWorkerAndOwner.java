import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Case: a worker is lost for good, and the owner of its pool is killed at the same time; its machine is listed as down.
 */
public class LostWorkerAndOwner {
    static final String JOB = "cccccccccccccccc";
    /** A task that lasts has to run again 6 s after its last run at the latest, or within 3 s more of calm. */
    static final long BOUND_MILLIS = 9_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean kill = trouble && !"1".equals(System.getenv("LOSS_ONLY"));
        Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
        int code = 2;
        String why = "not run";
        try {
            why = run(lab, trouble, kill);
            code = why.startsWith("broken") ? 1 : why.startsWith("held") ? 0 : 2;
        } catch (Exception e) {
            why = "failed: " + e;
        } finally {
            lab.close(code, why);
        }
        System.exit(code);
    }

    static String run(Lab lab, boolean loss, boolean kill) throws Exception {
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
        ObjectNode job = Lab.JSON.createObjectNode().put("spec", "600000");
        job.putArray("steps").addObject().put("count", 5).put("cpu", 2000).put("memMb", 512).put("estRuntimeMs", 2000)
                .put("longRunning", true).put("maxPerServer", 1);
        if (lab.entries.get(0).post("/pricing/" + JOB, job).status() != 200) {
            return "the job is not accepted";
        }
        Lab.sleep(4_000);
        Lab.Worker worker = lab.workers.stream().filter(any -> any.runs(JOB)).findFirst().orElse(null);
        if (worker == null || runningTasks(lab) != 5) {
            return "the job does not run";
        }
        String owner = lab.store.text("trefoilpost/live/pool/pricing").split("\n")[0];
        Lab.Entry killed = lab.entries.stream().filter(entry -> entry.name.equals(owner)).findFirst().orElseThrow();
        long lostMillis = Lab.ms();
        if (loss) {
            worker.lose();
        }
        if (kill) {
            lab.note("entry " + owner + ", which owns the pool, is killed");
            killed.process.destroyForcibly().waitFor();
            Lab.sleep(500);
            killed.start();
        }
        boolean whole = false;
        long without = 0;
        while (Lab.ms() - lostMillis < 20_000) {
            Lab.sleep(20);
            whole = runningTasks(lab) == 5;
            if (!whole) {
                without = Lab.ms() - lostMillis;
            }
        }
        lab.note("the last moment without a run of a task was " + without + " ms after the loss");
        return without < BOUND_MILLIS
                ? "held: a task had no run for " + without + " ms"
                : "broken: a task that lasts did not run until " + without + " ms after its last run, with 7 idle workers";
    }

    static int runningTasks(Lab lab) {
        synchronized (lab.running) {
            Map<String, List<String>> runs = new HashMap<>(lab.running);
            return (int) runs.entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith(JOB) && !entry.getValue().isEmpty())
                    .count();
        }
    }
}
