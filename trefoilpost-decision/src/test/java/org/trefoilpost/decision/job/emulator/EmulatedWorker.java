package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Predicate;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.RunEnd;
import org.trefoilpost.decision.job.TaskId;
import org.trefoilpost.decision.job.WorkerIncarnation;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * Emulates a worker that carries out orders under a lease on its own clock and rejects lower fencing tokens.
 */
public final class EmulatedWorker {
    private static final long STOP_DELAY_MILLIS = 100;
    private static final int DEFAULT_LISTED_ENDS = 500;
    /** Time after which a smaller capacity must be respected: the platform's bound and one report. */
    private static final long CAPACITY_APPLY_MILLIS = 4_500;
    /** The longest time that a call which is not lost takes there and back. */
    private static final long MAX_CALL_MILLIS = 10;

    private final EmulatorTime time;
    private final InvariantChecker checks;
    private final Random random;
    private final String id;
    private final double clockRate;
    private final Map<String, ActiveRun> runs = new HashMap<>();
    private final Map<String, Integer> closedRunNumbers = new HashMap<>();
    /** The runs that previous incarnations would refuse to start. */
    private final Map<String, Integer> formerClosedRunNumbers = new HashMap<>();

    private final List<WorkerRunStatus.Ended> unacknowledgedEnds = new ArrayList<>();
    private final List<FormerCapacity> formerCapacities = new ArrayList<>();
    private ResourceAmount capacity;
    private RegisteredWorker report;
    private long clockOffset;
    private long born;
    private int incarnation;
    private long lastEndNumber;
    private long highestToken;
    private long formerHighestToken;
    private boolean statusReported;
    private long statusToken;
    private long statusMillis;
    private long lastEndBeforeStatus;
    private long leaseExpiryMillis;
    private long lastEndBeforeLapse;
    private boolean alive = true;
    private boolean reachable = true;
    private boolean failing;
    private int failuresPerThousand = 20;
    private int maxListedEnds = DEFAULT_LISTED_ENDS;
    private Runnable crashHandler = this::crash;

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
        this.capacity = report.capacity();
        this.clockRate = 0.98 + random.nextDouble() * 0.02;
        this.clockOffset = random.nextInt(1_000_000);
        this.born = report.born();
        checkLease(incarnation);
    }

    RegisteredWorker report() {
        return report;
    }

    /**
     * Returns the number of the present incarnation, which grows with each restart under the same identifier.
     *
     * @return the number, not negative
     */
    public int incarnation() {
        return incarnation;
    }

    WorkerIncarnation presentIncarnation() {
        return new WorkerIncarnation(born);
    }

    /**
     * Starts the worker again under its identifier, if it is running with a crash first. It then runs nothing, has seen no
     * fencing token, and its clock and the numbers of its run ends begin again.
     *
     * @param newBorn  when the worker starts, in milliseconds since 1970
     */
    public void restart(long newBorn) {
        crash();
        closedRunNumbers.forEach((task, number) -> formerClosedRunNumbers.merge(task, number, Math::max));
        formerHighestToken = Math.max(formerHighestToken, highestToken);
        closedRunNumbers.clear();
        unacknowledgedEnds.clear();
        lastEndNumber = 0;
        statusReported = false;
        statusToken = 0;
        lastEndBeforeStatus = 0;
        lastEndBeforeLapse = 0;
        highestToken = 0;
        leaseExpiryMillis = 0;
        clockOffset = -(long) (time.nowMillis() * clockRate);
        born = newBorn;
        incarnation++;
        alive = true;
        checkLease(incarnation);
    }

    /**
     * Changes the capacity; the registry lists it from the next {@link #register} on.
     *
     * @param amount  the new capacity, not null
     */
    public void changeCapacity(ResourceAmount amount) {
        formerCapacities.add(new FormerCapacity(capacity, time.nowMillis()));
        capacity = amount;
    }

    /**
     * Returns the present capacity.
     *
     * @return the capacity, not null
     */
    public ResourceAmount capacity() {
        return capacity;
    }

    /**
     * Returns the capacity that starts must respect: the present one, or a larger one until a smaller one must be known. An
     * order that is carried out late may rest on any earlier capacity.
     */
    private ResourceAmount capacityLimit() {
        ResourceAmount limit = capacity;
        for (FormerCapacity former : formerCapacities) {
            boolean counts = checks.isLateOrder() || time.nowMillis() - former.untilMillis < CAPACITY_APPLY_MILLIS;
            limit = counts ? limit.max(former.amount) : limit;
        }
        return limit;
    }

    /**
     * Registers the present incarnation and its capacity.
     */
    void register() {
        report = new RegisteredWorker(
                id,
                report.machine(),
                report.pool(),
                report.address(),
                report.dataCentre(),
                report.labels(),
                capacity,
                report.draining(),
                born);
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
     * Sets what happens when a run crashes the worker, by default {@link #crash}.
     *
     * @param handler  crashes the worker and may start another, not null
     */
    public void onCrashByRun(Runnable handler) {
        crashHandler = handler;
    }

    private void crashBy(ActiveRun run) {
        if (alive && runs.get(run.task.text()) == run) {
            checks.workerCrashedBy(run.task);
            crashHandler.run();
        }
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

    private void checkLease(int checked) {
        if (alive && checked == incarnation) {
            if (clockMillis() >= leaseExpiryMillis) {
                new ArrayList<>(runs.values()).forEach(run -> endRun(run, RunEnd.LAPSED));
                lastEndBeforeLapse = lastEndNumber;
            }
            time.schedule(20, () -> checkLease(checked));
        }
    }

    private void extendLease(long untilMillis) {
        long longest = clockMillis() + EmulatedPlatform.TIMEOUTS.maxLeaseMillis();
        leaseExpiryMillis = Math.max(leaseExpiryMillis, Math.min(untilMillis, longest));
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
        extendLease(order.leaseUntilMillis());
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
        boolean unpreventable = isRefusedByFormer(order, token);
        ActiveRun run = new ActiveRun(
                order.task(),
                order.run(),
                context.demand(),
                time.nowMillis(),
                context.workMillis(),
                statusReported,
                unpreventable);
        runs.put(name, run);
        if (unpreventable) {
            checks.unpreventableStart();
        } else {
            checks.runStarted(id, order, capacityLimit(), usedAsKnownTo(token));
        }
        if (context.crashAfterMillis().isPresent()) {
            time.schedule(context.crashAfterMillis().getAsLong(), () -> crashBy(run));
        } else if (!context.longRunning()) {
            time.schedule(context.workMillis(), () -> finish(run));
        }
        return OrderResult.OK;
    }

    /**
     * Returns whether a previous incarnation refused the order, or one of its sender's successor. The sender, or its
     * successor, then rightly took the run for one that never starts, and cannot know that the order was still on its way.
     */
    private boolean isRefusedByFormer(WorkerOrder.Start order, long token) {
        return token < formerHighestToken
                || order.run()
                        <= formerClosedRunNumbers.getOrDefault(order.task().text(), 0);
    }

    /**
     * Returns whether nothing runs on the worker.
     *
     * @return true if it has no run
     */
    public boolean isIdle() {
        return runs.isEmpty();
    }

    boolean isRunning(TaskId task) {
        return runs.containsKey(task.text());
    }

    /**
     * Returns whether there is an active run of some jobs.
     */
    boolean hasRunOf(Predicate<String> jobs) {
        return runs.values().stream().anyMatch(run -> jobs.test(run.task.job()));
    }

    ResourceAmount used() {
        ResourceAmount used = ResourceAmount.NONE;
        for (ActiveRun run : runs.values()) {
            used = used.plus(run.demand);
        }
        return used;
    }

    /**
     * Returns the resources in use without those of starts that the order's sender could neither prevent nor know of yet.
     */
    private ResourceAmount usedAsKnownTo(long token) {
        boolean reported = token == statusToken && time.nowMillis() - statusMillis > MAX_CALL_MILLIS;
        ResourceAmount used = ResourceAmount.NONE;
        for (ActiveRun run : runs.values()) {
            boolean known = !run.unpreventable || reported && run.startedMillis < statusMillis;
            used = known ? used.plus(run.demand) : used;
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
        if (!runs.remove(run.task.text(), run)) {
            return;
        }
        closedRunNumbers.merge(run.task.text(), run.number, Math::max);
        if (!run.startedAfterStatus) {
            lastEndBeforeStatus = lastEndNumber + 1;
        }
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
        return hold(order, token, incarnation);
    }

    /**
     * Carries out an order to hold that was sent while a previous incarnation was running.
     *
     * <p>Such an order may discard ends of this incarnation. It is not held against the owner if the run began before this
     * incarnation first reported its status, as the owner could not know of it.
     *
     * @param order  the order, not null
     * @param token  the sender's fencing token
     * @param sentTo  the incarnation that was running when the order was sent
     * @return the outcome, not null
     */
    public OrderResult hold(WorkerOrder.Hold order, long token, int sentTo) {
        if (token < highestToken) {
            return OrderResult.FENCED;
        }
        highestToken = token;
        order.leaseUntilMillis().ifPresent(this::extendLease);
        unacknowledgedEnds.removeIf(end -> {
            boolean acknowledged = end.number() <= order.lastEnd();
            if (acknowledged && (sentTo == incarnation || end.number() > lastEndBeforeStatus)) {
                checks.endAcknowledged(end, end.number() > lastEndBeforeLapse);
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
     * Limits the number of run ends in a status.
     *
     * @param count  the number, positive
     */
    void maxListedEnds(int count) {
        maxListedEnds = count;
    }

    /**
     * Returns the active runs and the oldest unacknowledged run ends.
     *
     * @return the status, not null
     */
    public WorkerRunStatus status() {
        statusReported = true;
        statusToken = highestToken;
        statusMillis = time.nowMillis();
        List<WorkerRunStatus.Running> running = new ArrayList<>();
        runs.values()
                .forEach(run ->
                        running.add(new WorkerRunStatus.Running(run.task.text(), run.number, "", percent(run), 0)));
        boolean complete = unacknowledgedEnds.size() < maxListedEnds;
        List<WorkerRunStatus.Ended> listed =
                complete ? unacknowledgedEnds : unacknowledgedEnds.subList(0, maxListedEnds);
        return new WorkerRunStatus(clockMillis(), running, listed, born, complete);
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
     * @param crashAfterMillis  the time in milliseconds after which the task crashes its worker, empty if it does not, not
     *     null
     */
    public record StartContext(
            ResourceAmount demand, long workMillis, boolean longRunning, OptionalLong crashAfterMillis) {
        /**
         * Constructs the resources and time of a task that does not crash its worker.
         *
         * @param demand  the resources that the task occupies, not null
         * @param workMillis  the run time of the task in milliseconds
         * @param longRunning  true if the task runs until it is stopped
         */
        public StartContext(ResourceAmount demand, long workMillis, boolean longRunning) {
            this(demand, workMillis, longRunning, OptionalLong.empty());
        }
    }

    /**
     * A capacity that the worker had until some time.
     */
    private record FormerCapacity(ResourceAmount amount, long untilMillis) {}

    /**
     * A run that has not ended.
     */
    private record ActiveRun(
            TaskId task,
            int number,
            ResourceAmount demand,
            long startedMillis,
            long workMillis,
            boolean startedAfterStatus,
            boolean unpreventable) {}
}
