package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.RunEnd;
import org.trefoilpost.decision.job.TaskId;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * A worker that starts whatever it is told to, under a lease on its own clock and a fence.
 */
public final class EmulatedWorker {
    private static final long STOP_MILLIS = 100;

    private final EmulatorTime time;
    private final Checks checks;
    private final Random random;
    private final String id;
    private final RegisteredWorker report;
    private final double clockRate;
    private final long clockOffset;
    private final Map<String, LiveRun> runs = new HashMap<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();
    private final List<WorkerRunStatus.Ended> ended = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long leaseUntil;
    private boolean alive = true;
    private boolean reachable = true;
    private boolean failing;
    private int failuresPerThousand = 20;

    /**
     * Constructs a worker without runs.
     *
     * @param time  the time, not null
     * @param checks  what watches the runs, not null
     * @param random  what failures and the clock are drawn from, not null
     * @param report  what the worker reports about itself, not null
     */
    public EmulatedWorker(EmulatorTime time, Checks checks, Random random, RegisteredWorker report) {
        this.time = time;
        this.checks = checks;
        this.random = random;
        this.id = report.id();
        this.report = report;
        this.clockRate = 0.98 + random.nextDouble() * 0.02;
        this.clockOffset = random.nextInt(1_000_000);
        lookAtLease();
    }

    RegisteredWorker report() {
        return report;
    }

    /**
     * Returns whether the worker lives.
     *
     * @return false after a crash
     */
    public boolean alive() {
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

    /**
     * Ends the worker and all that runs there.
     */
    public void crash() {
        alive = false;
        runs.values().forEach(run -> checks.ended(id, run.task, run.number, "crashed"));
        runs.clear();
    }

    /**
     * Returns the worker's own clock, which may be slow.
     *
     * @return the time in milliseconds
     */
    public long clock() {
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

    /**
     * Carries out an order to start.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @param context  what the task takes, not null
     * @return the outcome, not null
     */
    public OrderResult start(WorkerOrder.Start order, long token, StartContext context) {
        if (token < fence) {
            return OrderResult.FENCED;
        }
        fence = token;
        leaseUntil = Math.max(leaseUntil, order.leaseUntilMillis());
        String name = order.task().text();
        LiveRun present = runs.get(name);
        if (present != null && present.number == order.run()) {
            return OrderResult.OK;
        }
        if (order.run() <= closedRuns.getOrDefault(name, 0) || present != null) {
            return OrderResult.OLD_RUN;
        }
        if (clock() >= order.leaseUntilMillis()) {
            return OrderResult.LEASE_PASSED;
        }
        LiveRun run = new LiveRun(order.task(), order.run(), context.demand(), time.now(), context.workMillis());
        runs.put(name, run);
        checks.started(id, order, report.capacity(), used());
        if (!context.lasting()) {
            time.after(context.workMillis(), () -> finish(run));
        }
        return OrderResult.OK;
    }

    ResourceAmount used() {
        ResourceAmount used = ResourceAmount.NONE;
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
        ended.add(new WorkerRunStatus.Ended(++lastEnd, run.task.text(), run.number, how, ""));
        checks.ended(id, run.task, run.number, how.name());
    }

    /**
     * Carries out an order to stop.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @return the outcome, not null
     */
    public OrderResult stop(WorkerOrder.Stop order, long token) {
        if (token < fence) {
            return OrderResult.FENCED;
        }
        fence = token;
        closedRuns.merge(order.task(), order.run(), Math::max);
        LiveRun run = runs.get(order.task());
        if (run != null && run.number <= order.run()) {
            time.after(STOP_MILLIS, () -> end(run, RunEnd.STOPPED));
        }
        return OrderResult.OK;
    }

    /**
     * Carries out an order to hold what runs.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @return the outcome, not null
     */
    public OrderResult hold(WorkerOrder.Hold order, long token) {
        if (token < fence) {
            return OrderResult.FENCED;
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
        return OrderResult.OK;
    }

    /**
     * Returns whether a run has ended after another.
     *
     * @param lastEnd  the number of the other end
     * @return true if there is a later end
     */
    public boolean hasNews(long lastEnd) {
        return ended.stream().anyMatch(end -> end.number() > lastEnd);
    }

    /**
     * Returns what runs and what has ended.
     *
     * @return the status, not null
     */
    public WorkerRunStatus status() {
        List<WorkerRunStatus.Running> running = new ArrayList<>();
        runs.values()
                .forEach(run ->
                        running.add(new WorkerRunStatus.Running(run.task.text(), run.number, "", percent(run), 0)));
        return new WorkerRunStatus(clock(), running, ended);
    }

    private int percent(LiveRun run) {
        return (int) Math.min(99, (time.now() - run.startedMillis) * 100 / run.workMillis);
    }

    /**
     * What the task of an order takes.
     *
     * @param demand  the room it takes, not null
     * @param workMillis  its time in milliseconds
     * @param lasting  true if it runs until it is stopped
     */
    public record StartContext(ResourceAmount demand, long workMillis, boolean lasting) {}

    /**
     * A run under way.
     */
    private record LiveRun(TaskId task, int number, ResourceAmount demand, long startedMillis, long workMillis) {}
}
