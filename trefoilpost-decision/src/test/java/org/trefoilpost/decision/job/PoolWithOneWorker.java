package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.job.team.Teams;

/**
 * A pool of one worker and one queue for tests of its scheduler, which give the answers of the worker and of the store
 * themselves. Its owner can be replaced by one that knows only what is stored.
 */
final class PoolWithOneWorker {
    static final String WORKER = "w";
    static final String QUEUE = "q";

    private static final PoolTimeouts TIMEOUTS = new PoolTimeouts(5_000, 10_000, 120_000, 2_000);
    private static final ResourceAmount CAPACITY = new ResourceAmount(8_000, 8_000, 0);
    private static final QueueConfig QUEUE_CONFIG =
            new QueueConfig(QUEUE, "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);

    private final long stepMillis;
    private final List<WorkerOrder> sent = new ArrayList<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private RecordedActions actions;
    private PoolScheduler scheduler;

    /**
     * Constructs a pool without jobs, of which an owner has just taken possession.
     *
     * @param stepMillis  by how much each {@link #advance} moves the time
     */
    PoolWithOneWorker(long stepMillis) {
        this.stepMillis = stepMillis;
        replaceOwner();
    }

    PoolScheduler scheduler() {
        return scheduler;
    }

    Moment now() {
        return now;
    }

    /** Makes a new owner take over the pool with what is stored. */
    void replaceOwner() {
        sent.clear();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", TIMEOUTS, actions);
        scheduler.configure(Map.of(QUEUE, QUEUE_CONFIG), Teams.NONE);
        RegisteredWorker worker = new RegisteredWorker(
                WORKER, "m", "pool", WorkerAddress.of("10.0.0.1", 80), "dc", List.of(), CAPACITY, false);
        scheduler.load(Map.copyOf(stored), now);
        scheduler.open(List.of(worker), List.of(), now.steadyMillis(), now);
        advance();
    }

    /** Returns the decisions of a name that the present owner has logged, the earliest first. */
    List<Decision> decisions(String name) {
        return actions.decisions(name);
    }

    /** Submits a job of one step. */
    void submit(String id, StepSpec step) {
        scheduler.submit(new JobSpec(id, QUEUE, "text", List.of(step), JobSpec.Schedule.ONCE), true, now);
    }

    /** Passes a complete status of the worker to the scheduler. */
    void report(List<WorkerRunStatus.Running> running, List<WorkerRunStatus.Ended> ended) {
        scheduler.statusReceived(WORKER, new WorkerRunStatus(now.steadyMillis(), running, ended), now);
    }

    /** Passes the answer to an order to the scheduler. */
    void answer(WorkerOrder order, OrderResult result) {
        scheduler.orderAnswered(order, result, now);
    }

    /** Ends the worker. */
    void endWorker() {
        scheduler.workerEnded(WORKER, "not-on-any-machine", now);
    }

    /** Moves the time on and lets the scheduler decide. */
    void advance() {
        sent.clear();
        now = now.plus(stepMillis);
        scheduler.tick(OrderPermission.ALL, now);
    }

    /** Lets the scheduler write its changes, and confirms that they are stored. */
    void storeChanges() {
        advance();
        actions.takeCommit().ifPresent(number -> {
            stored.putAll(actions.lastCommit().puts());
            scheduler.commitStored(number, now);
        });
    }

    /** Returns the orders of a kind that the last step has sent. */
    <T extends WorkerOrder> List<T> orders(Class<T> kind) {
        return sent.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
