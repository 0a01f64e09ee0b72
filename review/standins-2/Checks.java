import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges what workers and clients see by RULES.md. Guarded by the lab. */
final class Checks {
    private final Lab lab;
    final List<String> broken = new ArrayList<>();
    private final Map<String, Integer> live = new HashMap<>();
    private final Map<String, Integer> doneRun = new HashMap<>();
    private final Set<String> noted = new HashSet<>();
    private final Map<String, Set<Integer>> failedNoted = new HashMap<>();
    private final Map<String, Set<Integer>> failed = new HashMap<>();
    private final Map<String, Set<String>> values = new HashMap<>();
    final Map<String, Integer> started = new HashMap<>();
    private final List<String> startsAfterDone = new ArrayList<>();
    final Map<String, Long> lastRunEnd = new HashMap<>();

    Checks(Lab lab) {
        this.lab = lab;
    }

    void rule(String name, String what) {
        lab.record("BROKEN", name + " " + what);
        broken.add(name + " " + what);
    }

    void started(Worker worker, Worker.Run run, String spec) {
        lab.record("start", run.task + " run " + run.number + " on " + worker.id + " checkpoint '" + run.checkpoint + "'");
        Lab.Job job = lab.jobs.get(run.job);
        if (job == null || run.spec == null) {
            rule("UNASKED", run.task + " was not sent");
            return;
        }
        if (!spec.equals(job.spec)) {
            rule("UNASKED", run.task + " has another spec");
        }
        job.begun = true;
        if (job.cancelledAt > 0 && Lab.now() > job.cancelledAt + 3_000) {
            rule("UNASKED", run.task + " run " + run.number + " " + (Lab.now() - job.cancelledAt) + " ms after the cancelling was acknowledged");
        }
        String key = run.spec.gang ? run.job + "." + run.occurrence + "." + run.step : run.task;
        if (!run.checkpoint.isEmpty() && !values.getOrDefault(key, Set.of()).contains(run.checkpoint)) {
            rule("UNASKED", run.task + " run " + run.number + " carries checkpoint " + run.checkpoint + ", which it never had");
        }
        if (live.getOrDefault(run.task, 0) > 0) {
            rule("TWICE", run.task + " run " + run.number + " beside another run");
        }
        Integer done = doneRun.get(run.task);
        if (done != null) {
            if (noted.contains(run.task + "#" + done)) {
                rule("TWICE", run.task + " run " + run.number + " after run " + done + " was done");
            } else {
                startsAfterDone.add(run.task + "#" + done);
            }
        }
        for (int earlier : run.spec.after) {
            for (int i = 0; i < job.steps.get(earlier).count; i++) {
                if (!doneRun.containsKey(run.job + "." + run.occurrence + "." + earlier + "." + i)) {
                    rule("ORDER", run.task + " before step " + earlier + " has ended");
                    break;
                }
            }
        }
        if (job.repeat > 0 && Lab.wall() < job.firstRunMs + run.occurrence * job.intervalMs - 250) {
            rule("ORDER", run.task + " before its time");
        }
        if (!run.spec.requires.isEmpty() && !worker.labels.contains(run.spec.requires)) {
            rule("ROUTE", run.task + " on a worker without label " + run.spec.requires);
        }
        long same = worker.running.values().stream()
                .filter(other -> other.job.equals(run.job) && other.occurrence == run.occurrence && other.step == run.step)
                .count();
        if (run.spec.maxPerServer > 0 && same >= run.spec.maxPerServer) {
            rule("ROUTE", run.task + " beyond maxPerServer");
        }
        long cpu = run.spec.cpu + worker.running.values().stream().mapToLong(other -> other.spec.cpu).sum();
        long memory = run.spec.memory + worker.running.values().stream().mapToLong(other -> other.spec.memory).sum();
        if (cpu > worker.cpu || memory > worker.memory) {
            rule("LIMIT", run.task + " brings " + worker.id + " to " + cpu + " cpu, " + memory + " MB");
        }
        int failures = failedNoted.getOrDefault(run.task, Set.of()).size();
        if (failures >= lab.attempts && !run.spec.lasts) {
            rule("BUDGET", run.task + " after " + failures + " failures");
        }
        live.merge(run.task, 1, Integer::sum);
        started.merge(run.task, 1, Integer::sum);
    }

    void produced(Worker.Run run, String value) {
        String key = run.spec.gang ? run.job + "." + run.occurrence + "." + run.step : run.task;
        values.computeIfAbsent(key, any -> new HashSet<>()).add(value);
    }

    void ended(Worker worker, Worker.Run run, String how) {
        lab.record("end", run.task + " run " + run.number + " on " + worker.id + " " + how);
        live.merge(run.task, -1, Integer::sum);
        lastRunEnd.put(run.task, Lab.now());
        if (how.equals("done")) {
            doneRun.putIfAbsent(run.task, run.number);
        } else if (how.equals("failed")) {
            String key = run.spec.gang ? run.job + "." + run.occurrence + "." + run.step : run.task;
            failed.computeIfAbsent(key, any -> new HashSet<>()).add(run.number);
        }
    }

    void noted(String task, int run, String how) {
        if (how.equals("done")) {
            noted.add(task + "#" + run);
            if (startsAfterDone.contains(task + "#" + run)) {
                rule("TWICE", task + " was started after run " + run + " was done, and that end was noted");
            }
        } else if (how.equals("failed")) {
            failedNoted.computeIfAbsent(task, any -> new HashSet<>()).add(run);
        }
    }

    boolean isDone(String task) {
        return doneRun.containsKey(task);
    }

    boolean isRunning(String task) {
        return live.getOrDefault(task, 0) > 0;
    }

    int failures(String job) {
        return failed.entrySet().stream().filter(entry -> entry.getKey().startsWith(job)).mapToInt(entry -> entry.getValue().size()).max().orElse(0);
    }
}
