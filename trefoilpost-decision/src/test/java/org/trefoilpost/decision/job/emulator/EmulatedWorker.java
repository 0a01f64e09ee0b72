package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.RunEnd;
import org.trefoilpost.decision.job.TaskId;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * Emulates a worker that carries out orders under a lease on its own clock and rejects lower fencing tokens.
 */
public final class EmulatedWorker {
    private static final long STOP_DELAY_MILLIS = 100;

    private final EmulatorTime time;
    private final InvariantChecker checks;
    private final Random random;
    private final String id;
    private final RegisteredWorker report;
    private final double clockRate;
    private final long clockOffset;
    private final Map<String, ActiveRun> runs = new HashMap<>();
    private final Map<String, Integer> closedRunNumbers = new HashMap<>();
    private final List<WorkerRunStatus.Ended> unacknowledgedEnds = new ArrayList<>();
    private long lastEndNumber;
    private long highestToken;
    private long leaseExpiryMillis;
    private boolean alive = true;
    private boolean reachable = true;
    private boolean failing;
    private int failuresPerThousand = 20;

    /**
     * Constructs a worker without runs.
     *
     * @param time  the time of the emulation, not null
     * @param checks  the checker that observes the runs, not null
     * @param random  the source of failures and of the clock's rate and offset, not null
     * @param report  the worker as the registry lists it, not null
     */
    public EmulatedWorker(EmulatorTime time, InvariantChecker checks, Random random, RegisteredWorker report) {
        this.time = time;
        this.checks = checks;
        this.random = random;
        this.id = report.id();
        this.report = report;
        this.clockRate = 0.98 + random.nextDouble() * 0.02;
        this.clockOffset = random.nextInt(1_000_000);
        checkLease();
    }

    RegisteredWorker report() {
        return report;
    }

    /**
     * Returns whether the worker is running.
     *
     * @return false after a crash
     */
    public boolean isAlive() {
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
     * Crashes the worker with all its runs.
     */
    public void crash() {
        alive = false;
        runs.values().forEach(run -> checks.runEnded(id, run.task, run.number, "crashed"));
        runs.clear();
    }

    /**
     * Returns the time on the worker's own clock, which may run slow.
     *
     * @return the time in milliseconds
     */
    public long clockMillis() {
        return (long) (time.nowMillis() * clockRate) + clockOffset;
    }

    private void checkLease() {
        if (alive) {
            if (clockMillis() >= leaseExpiryMillis) {
                new ArrayList<>(runs.values()).forEach(run -> endRun(run, RunEnd.LAPSED));
            }
            time.schedule(20, this::checkLease);
        }
    }

    /**
     * Carries out an order to start a run.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @param context  the resources and time of the task, not null
     * @return the outcome, not null
     */
    public OrderResult start(WorkerOrder.Start order, long token, StartContext context) {
        if (token < highestToken) {
            return OrderResult.FENCED;
        }
        highestToken = token;
        leaseExpiryMillis = Math.max(leaseExpiryMillis, order.leaseUntilMillis());
        String name = order.task().text();
        ActiveRun active = runs.get(name);
        if (active != null && active.number == order.run()) {
            return OrderResult.OK;
        }
        if (order.run() <= closedRunNumbers.getOrDefault(name, 0) || active != null) {
            return OrderResult.OLD_RUN;
        }
        if (clockMillis() >= order.leaseUntilMillis()) {
            return OrderResult.LEASE_PASSED;
        }
        ActiveRun run =
                new ActiveRun(order.task(), order.run(), context.demand(), time.nowMillis(), context.workMillis());
        runs.put(name, run);
        checks.runStarted(id, order, report.capacity(), used());
        if (!context.longRunning()) {
            time.schedule(context.workMillis(), () -> finish(run));
        }
        return OrderResult.OK;
    }

    ResourceAmount used() {
        ResourceAmount used = ResourceAmount.NONE;
        for (ActiveRun run : runs.values()) {
            used = used.plus(run.demand);
        }
        return used;
    }

    /**
     * Returns the resources of the active runs of some jobs.
     */
    ResourceAmount usedBy(Predicate<String> jobs) {
        ResourceAmount used = ResourceAmount.NONE;
        for (ActiveRun run : runs.values()) {
            used = jobs.test(run.task.job()) ? used.plus(run.demand) : used;
        }
        return used;
    }

    private void finish(ActiveRun run) {
        if (alive && runs.get(run.task.text()) == run) {
            endRun(run, failing || random.nextInt(1_000) < failuresPerThousand ? RunEnd.FAILED : RunEnd.DONE);
        }
    }

    private void endRun(ActiveRun run, RunEnd how) {
        if (runs.remove(run.task.text()) == null) {
            return;
        }
        closedRunNumbers.merge(run.task.text(), run.number, Math::max);
        unacknowledgedEnds.add(new WorkerRunStatus.Ended(++lastEndNumber, run.task.text(), run.number, how, ""));
        checks.runEnded(id, run.task, run.number, how.name());
    }

    /**
     * Carries out an order to stop a run.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @return the outcome, not null
     */
    public OrderResult stop(WorkerOrder.Stop order, long token) {
        if (token < highestToken) {
            return OrderResult.FENCED;
        }
        highestToken = token;
        closedRunNumbers.merge(order.task(), order.run(), Math::max);
        ActiveRun run = runs.get(order.task());
        if (run != null && run.number <= order.run()) {
            time.schedule(STOP_DELAY_MILLIS, () -> endRun(run, RunEnd.STOPPED));
        }
        return OrderResult.OK;
    }

    /**
     * Carries out an order to hold the worker's runs: extends the lease and drops acknowledged run ends.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @return the outcome, not null
     */
    public OrderResult hold(WorkerOrder.Hold order, long token) {
        if (token < highestToken) {
            return OrderResult.FENCED;
        }
        highestToken = token;
        order.leaseUntilMillis().ifPresent(until -> leaseExpiryMillis = Math.max(leaseExpiryMillis, until));
        unacknowledgedEnds.removeIf(end -> {
            boolean acknowledged = end.number() <= order.lastEnd();
            if (acknowledged) {
                checks.endAcknowledged(end);
            }
            return acknowledged;
        });
        return OrderResult.OK;
    }

    /**
     * Returns whether there is a run end with a higher number.
     *
     * @param lastEnd  the number of the last run end that the caller knows
     * @return true if there is a later run end
     */
    public boolean hasEndAfter(long lastEnd) {
        return unacknowledgedEnds.stream().anyMatch(end -> end.number() > lastEnd);
    }

    /**
     * Returns the active runs and the unacknowledged run ends.
     *
     * @return the status, not null
     */
    public WorkerRunStatus status() {
        List<WorkerRunStatus.Running> running = new ArrayList<>();
        runs.values()
                .forEach(run ->
                        running.add(new WorkerRunStatus.Running(run.task.text(), run.number, "", percent(run), 0)));
        return new WorkerRunStatus(clockMillis(), running, unacknowledgedEnds);
    }

    private int percent(ActiveRun run) {
        return (int) Math.min(99, (time.nowMillis() - run.startedMillis) * 100 / run.workMillis);
    }

    /**
     * The resources and time of the task of an order.
     *
     * @param demand  the resources that the task occupies, not null
     * @param workMillis  the run time of the task in milliseconds
     * @param longRunning  true if the task runs until it is stopped
     */
    public record StartContext(ResourceAmount demand, long workMillis, boolean longRunning) {}

    /**
     * A run that has not ended.
     */
    private record ActiveRun(TaskId task, int number, ResourceAmount demand, long startedMillis, long workMillis) {}
}
