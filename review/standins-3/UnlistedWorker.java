import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * Case: a worker is cut off from the store, so that its entry lapses, and the owner of its pool is killed as it has just ordered a
 * start there.
 */
public class UnlistedWorker {
    /** How long the worker is cut off from the store. */
    static final long CUT_MILLIS = 5_000;
    /** The start is ordered about this long before the entry is removed. */
    static final long BEFORE_REMOVAL_MILLIS = 250;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
        int code = 2;
        String why = "not run";
        try {
            why = run(lab, trouble && !"1".equals(System.getenv("KILL_ONLY")), trouble);
            code = why.startsWith("broken") ? 1 : why.startsWith("held") ? 0 : 2;
        } catch (Exception e) {
            why = "failed: " + e;
        } finally {
            lab.close(code, why);
        }
        System.exit(code);
    }

    static ObjectNode job(String spec, int count) {
        ObjectNode job = Lab.JSON.createObjectNode().put("spec", spec);
        job.putArray("steps").addObject().put("count", count).put("cpu", 2000).put("memMb", 512)
                .put("estRuntimeMs", 2000).put("affinity", "r1-1");
        return job;
    }

    static String run(Lab lab, boolean cut, boolean kill) throws Exception {
        lab.configure(10, "pricing");
        Lab.Worker worker = lab.new Worker("w1", "pricing", "r1-1", 400_000);
        lab.workers.add(worker);
        for (int i = 2; i <= 8; i++) {
            lab.workers.add(lab.new Worker("w" + i, "pricing", "r1-" + i, 400_000 + 1000L * i));
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
        String path = "/pricing/";
        lab.entries.get(0).post(path + "aaaaaaaaaaaaaaaa", job("60", 1));
        Lab.sleep(1_500);
        long sequence = worker.registeredMillis;
        lab.await(2_000, () -> worker.registeredMillis != sequence);
        if (cut) {
            lab.note("worker w1 is cut off from the store");
            worker.storeCut = true;
        }
        long cutMillis = Lab.ms();
        Lab.sleep(4_500 - BEFORE_REMOVAL_MILLIS - 20);
        String owner = lab.store.text("trefoilpost/live/pool/pricing").split("\n")[0];
        Lab.Entry killed = lab.entries.stream().filter(entry -> entry.name.equals(owner)).findFirst().orElseThrow();
        Lab.Entry other = lab.entries.stream().filter(entry -> entry != killed).findFirst().orElseThrow();
        Thread client = new Thread(() -> other.post(path + "cccccccccccccccc", job("2000", 1)));
        client.start();
        boolean begun = lab.await(1_500, () -> worker.runs("cccccccccccccccc.0.0"));
        if (kill) {
            lab.note("entry " + owner + ", which owns the pool and gave the last order, is killed");
            killed.process.destroyForcibly().waitFor();
        }
        if (!begun) {
            return "worker w1 has not begun the task";
        }
        client.join();
        Lab.sleep(cutMillis + CUT_MILLIS - Lab.ms());
        if (cut) {
            lab.note("worker w1 reaches the store again");
            worker.storeCut = false;
        }
        if (kill) {
            killed.start();
        }
        Lab.sleep(6_000);
        return lab.twice.isEmpty() ? "held" : "broken: " + lab.twice;
    }
}
