import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * Case: an idle worker starts again under its id, is given a start by the clock of its former life, and is cut off soon after.
 */
public class LeaseAfterRestart {
    static final long CUT_MILLIS = 5_500;
    static final long DOWN_MILLIS = 300;
    /** The first report of the new life; less than the 1,500 ms between two reports. */
    static final long REPORT_AFTER_MILLIS = 700;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        boolean restart = trouble && !"1".equals(System.getenv("CUT_ONLY"));
        Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
        int code = 2;
        String why = "not run";
        try {
            why = run(lab, trouble, restart);
            code = why.startsWith("broken") ? 1 : why.startsWith("held") ? 0 : 2;
        } catch (Exception e) {
            why = "failed: " + e;
        } finally {
            lab.close(code, why);
        }
        System.exit(code);
    }

    static ObjectNode job(String spec, int longTasks, int shortTasks) {
        ObjectNode job = Lab.JSON.createObjectNode().put("spec", spec);
        ArrayNode steps = job.putArray("steps");
        if (longTasks > 0) {
            steps.addObject().put("count", longTasks).put("cpu", 2000).put("memMb", 512).put("estRuntimeMs", 30000)
                    .put("affinity", "r1-1");
        }
        steps.addObject().put("count", shortTasks).put("cpu", 500).put("memMb", 128).put("estRuntimeMs", 60)
                .put("affinity", "r1-1");
        return job;
    }

    static String run(Lab lab, boolean trouble, boolean restart) throws Exception {
        lab.configure(10, "pricing");
        // The workers have run for some minutes; each has a clock of its own.
        Lab.Worker worker = lab.new Worker("w1", "pricing", "r1-1", 400_000);
        lab.workers.add(worker);
        for (int i = 2; i <= 10; i++) {
            lab.workers.add(lab.new Worker("w" + i, "pricing", "r1-" + i, 400_000 + 1000L * i));
        }
        for (int i = 0; i < 2; i++) {
            Lab.Entry entry = lab.new Entry("front-hall-" + (i + 1), 11 + i);
            lab.entries.add(entry);
            entry.start();
        }
        Lab.Entry entry = lab.entries.get(0);
        if (!lab.await(25_000, () -> lab.entries.stream().allMatch(Lab.Entry::isReady))) {
            return "the entries are not ready";
        }
        Lab.sleep(3_000);
        String path = "/pricing/";
        for (int i = 0; i < 6; i++) {
            entry.post(path + String.format("aaaaaaaaaaaaaa%02x", i), job("60", 0, 1));
            Lab.sleep(150);
        }
        entry.post(path + "bbbbbbbbbbbbbbbb", job("60", 0, 1));
        if (!lab.await(5_000, () -> worker.idleAfter("bbbbbbbbbbbbbbbb.0.0.0"))) {
            return "the worker is not idle";
        }
        if (restart) {
            worker.restart(DOWN_MILLIS, REPORT_AFTER_MILLIS);
        } else {
            Lab.sleep(DOWN_MILLIS);
        }
        Lab.Reply reply = entry.post(path + "cccccccccccccccc", job("40000 60", 1, 1));
        if (reply.status() != 200) {
            return "the job is not accepted: " + reply;
        }
        if (!lab.await(3_000, () -> worker.runs("cccccccccccccccc.0.0"))) {
            return "the worker has not begun the task";
        }
        Lab.sleep(1_500);
        if (!worker.runs("cccccccccccccccc.0.0")) {
            return "the worker does not run the task";
        }
        if (trouble) {
            lab.note("worker w1 is cut off from the entries, lease left " + worker.leaseLeft() + " ms");
            worker.cut = true;
            Lab.sleep(CUT_MILLIS);
            worker.cut = false;
            lab.note("the cut ends, lease left " + worker.leaseLeft() + " ms");
        } else {
            Lab.sleep(CUT_MILLIS);
        }
        Lab.sleep(2_000);
        return lab.twice.isEmpty() ? "held" : "broken: " + lab.twice;
    }
}
