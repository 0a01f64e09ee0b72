package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.trefoilpost.decision.job.CallResult;
import org.trefoilpost.decision.job.Demand;
import org.trefoilpost.decision.job.RunEnd;
import org.trefoilpost.decision.job.TaskId;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerReport;
import org.trefoilpost.decision.job.WorkerStatus;

/**
 * A worker that starts whatever it is told to, under a lease on its own clock and a fence.
 */
final class EmulatedWorker {
    private static final long STOP_MILLIS = 100;

    private final VirtualTime time;
    private final Checks checks;
    private final Random random;
    private final String id;
    private final Demand capacity;
    private final double clockRate;
    private final long clockOffset;
    private final Map<String, LiveRun> runs = new HashMap<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();
    private final List<WorkerStatus.Ended> ended = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long leaseUntil;
    private boolean alive = true;
    private boolean reachable = true;
    private boolean failing;
    private int failuresPerThousand = 20;

    EmulatedWorker(VirtualTime time, Checks checks, Random random, String id, Demand capacity) {
        this.time = time;
        this.checks = checks;
        this.random = random;
        this.id = id;
        this.capacity = capacity;
        this.clockRate = 0.98 + random.nextDouble() * 0.02;
        this.clockOffset = random.nextInt(1_000_000);
        lookAtLease();
    }

    WorkerReport report() {
        return new WorkerReport(id, "m-" + id, "pool", id + ":80", "dc", List.of("a", "r1"), capacity, false);
    }

    boolean alive() {
        return alive;
    }

    boolean reachable() {
        return alive && reachable;
    }

    void reachable(boolean value) {
        reachable = value;
    }

    void failing(boolean value) {
        failing = value;
    }

    void failuresPerThousand(int value) {
        failuresPerThousand = value;
    }

    void crash() {
        alive = false;
        runs.values().forEach(run -> checks.ended(id, run.task, run.number, "crashed"));
        runs.clear();
    }

    private long clock() {
        return (long) (time.now() * clockRate) + clockOffset;
    }

    private void lookAtLease() {
        if (alive) {
            if (clock() >= leaseUntil) {
                new ArrayList<>(runs.values()).forEach(run -> end(run, RunEnd.LAPSED));
            }
            time.after(20, this::lookAtLease);
        }
    }

    CallResult start(WorkerOrder.Start order, long token, StartContext context) {
        if (token < fence) {
            return CallResult.FENCED;
        }
        fence = token;
        leaseUntil = Math.max(leaseUntil, order.leaseUntilMillis());
        String name = order.task().text();
        LiveRun present = runs.get(name);
        if (present != null && present.number == order.run()) {
            return CallResult.OK;
        }
        if (order.run() <= closedRuns.getOrDefault(name, 0) || present != null) {
            return CallResult.OLD_RUN;
        }
        if (clock() >= order.leaseUntilMillis()) {
            return CallResult.LEASE_PASSED;
        }
        LiveRun run = new LiveRun(order.task(), order.run(), context.demand(), time.now(), context.workMillis());
        runs.put(name, run);
        checks.started(id, order, capacity, used());
        if (!context.lasting()) {
            time.after(context.workMillis(), () -> finish(run));
        }
        return CallResult.OK;
    }

    Demand used() {
        Demand used = Demand.NONE;
        for (LiveRun run : runs.values()) {
            used = used.plus(run.demand);
        }
        return used;
    }

    private void finish(LiveRun run) {
        if (alive && runs.get(run.task.text()) == run) {
            end(run, failing || random.nextInt(1_000) < failuresPerThousand ? RunEnd.FAILED : RunEnd.DONE);
        }
    }

    private void end(LiveRun run, RunEnd how) {
        if (runs.remove(run.task.text()) == null) {
            return;
        }
        closedRuns.merge(run.task.text(), run.number, Math::max);
        ended.add(new WorkerStatus.Ended(++lastEnd, run.task.text(), run.number, how, ""));
        checks.ended(id, run.task, run.number, how.name());
    }

    CallResult stop(WorkerOrder.Stop order, long token) {
        if (token < fence) {
            return CallResult.FENCED;
        }
        fence = token;
        closedRuns.merge(order.task(), order.run(), Math::max);
        LiveRun run = runs.get(order.task());
        if (run != null && run.number <= order.run()) {
            time.after(STOP_MILLIS, () -> end(run, RunEnd.STOPPED));
        }
        return CallResult.OK;
    }

    CallResult hold(WorkerOrder.Hold order, long token) {
        if (token < fence) {
            return CallResult.FENCED;
        }
        fence = token;
        order.leaseUntilMillis().ifPresent(until -> leaseUntil = Math.max(leaseUntil, until));
        ended.removeIf(end -> {
            boolean seen = end.number() <= order.lastEnd();
            if (seen) {
                checks.noted(end);
            }
            return seen;
        });
        return CallResult.OK;
    }

    boolean hasNews(long lastEnd) {
        return ended.stream().anyMatch(end -> end.number() > lastEnd);
    }

    WorkerStatus status() {
        List<WorkerStatus.Running> running = new ArrayList<>();
        runs.values()
                .forEach(
                        run -> running.add(new WorkerStatus.Running(run.task.text(), run.number, "", percent(run), 0)));
        return new WorkerStatus(clock(), running, ended);
    }

    private int percent(LiveRun run) {
        return (int) Math.min(99, (time.now() - run.startedMillis) * 100 / run.workMillis);
    }

    int runningCount() {
        return runs.size();
    }

    /**
     * What the task of an order takes.
     */
    record StartContext(Demand demand, long workMillis, boolean lasting) {}

    /**
     * A run under way.
     */
    private record LiveRun(TaskId task, int number, Demand demand, long startedMillis, long workMillis) {}
}
