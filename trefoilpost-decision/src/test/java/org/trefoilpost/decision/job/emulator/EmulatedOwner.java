package org.trefoilpost.decision.job.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.OrderPermission;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.PoolActions;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.decision.job.PoolScheduler;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.WorkerIncarnation;
import org.trefoilpost.decision.job.WorkerOrder;

/**
 * Emulates an owner of the pool: runs its scheduler, and delays or loses its calls.
 */
final class EmulatedOwner implements PoolActions {
    private static final long TICK_INTERVAL_MILLIS = 20;
    private static final long OWNERSHIP_CHECK_INTERVAL_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 700;
    private static final long MACHINE_LIST_INTERVAL_MILLIS = 700;
    private static final long MACHINE_LIST_MILLIS = 4;

    private final EmulatedPlatform platform;
    private final VirtualTime time;
    private final Random random;
    private final long token;
    private final PoolScheduler scheduler;
    private final Map<String, Long> commitPendingSinceMillis = new HashMap<>();
    private boolean stopped;
    private long ownershipConfirmedMillis;
    private long lastMachineListMillis;

    EmulatedOwner(EmulatedPlatform platform, Map<String, QueueConfig> queues, long token) {
        this.platform = platform;
        this.time = platform.time();
        this.random = platform.random();
        this.token = token;
        this.scheduler = new PoolScheduler("pool", EmulatedPlatform.TIMEOUTS, this);
        this.ownershipConfirmedMillis = time.nowMillis();
        scheduler.configure(queues, platform.teams());
        Moment now = time.moment();
        scheduler.load(platform.store().documents(), now);
        scheduler.open(platform.listedWorkers(), platform.delistedWorkers(), now.steadyMillis(), now);
        instruct();
        tick();
        checkOwnership();
    }

    PoolScheduler scheduler() {
        return scheduler;
    }

    boolean isStopped() {
        return stopped;
    }

    void kill() {
        stopped = true;
    }

    void registryChanged() {
        if (!stopped) {
            scheduler.updateWorkers(platform.listedWorkers(), time.moment());
        }
    }

    /**
     * Has the scheduler evacuate the workers that are to be evacuated now, and no others.
     */
    void instruct() {
        if (!stopped) {
            scheduler.instruct(new PoolInstructions(platform.evacuating(), 0));
        }
    }

    private void checkOwnership() {
        if (stopped) {
            return;
        }
        if (!platform.storeDown()) {
            if (platform.store().token() == token) {
                ownershipConfirmedMillis = time.nowMillis();
            } else {
                stopped = true;
            }
        }
        time.schedule(OWNERSHIP_CHECK_INTERVAL_MILLIS, this::checkOwnership);
    }

    private void tick() {
        if (!stopped) {
            scheduler.findGoneWorkers(platform, time.moment());
            boolean allowed = time.nowMillis() - ownershipConfirmedMillis < PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS;
            scheduler.tick(OrderPermission.of(allowed, platform.capacitiesKnown()), time.moment());
            checkSilentWorkers(scheduler.silentWorkers());
            time.schedule(TICK_INTERVAL_MILLIS, this::tick);
        }
    }

    private void checkSilentWorkers(Set<String> silentWorkers) {
        if (silentWorkers.isEmpty() || time.nowMillis() - lastMachineListMillis < MACHINE_LIST_INTERVAL_MILLIS) {
            return;
        }
        lastMachineListMillis = time.nowMillis();
        time.schedule(
                MACHINE_LIST_MILLIS,
                () -> platform.machineService()
                        .list(platform)
                        .ifPresent(listed -> silentWorkers.stream()
                                .filter(id -> !stopped && !listed.contains(id))
                                .forEach(id -> scheduler.workerEnded(id, "not-on-any-machine", time.moment()))));
    }

    boolean isStoreResponsive() {
        return commitPendingSinceMillis.values().stream().allMatch(since -> time.nowMillis() - since < 800);
    }

    @Override
    public void send(WorkerOrder order) {
        EmulatedWorker worker = platform.worker(order.worker());
        boolean lost = worker == null || !worker.reachable() || random.nextInt(1_000) < platform.lostPerThousand();
        long delay = 1 + random.nextInt(4);
        int sentTo = worker == null ? 0 : worker.incarnation();
        if (worker != null && order instanceof WorkerOrder.Start start) {
            platform.startSent(start, worker);
        }
        if (!lost) {
            time.schedule(delay, () -> deliver(worker, order, sentTo));
            return;
        }
        time.schedule(CALL_TIMEOUT_MILLIS, () -> answer(order, OrderResult.NO_ANSWER));
        if (worker != null && random.nextBoolean() && isMeantFor(worker, order)) {
            long late = 2_000 + random.nextInt(10_000);
            time.schedule(late, () -> deliverWithoutAnswer(worker, order, sentTo));
        }
    }

    private void deliverWithoutAnswer(EmulatedWorker worker, WorkerOrder order, int sentTo) {
        if (worker.isAlive()) {
            platform.checks().setLateOrder(true);
            execute(worker, order, sentTo);
            platform.checks().setLateOrder(false);
        }
    }

    private void deliver(EmulatedWorker worker, WorkerOrder order, int sentTo) {
        if (!worker.reachable()) {
            time.schedule(CALL_TIMEOUT_MILLIS, () -> answer(order, OrderResult.NO_ANSWER));
            return;
        }
        if (!isMeantFor(worker, order)) {
            time.schedule(1 + random.nextInt(4), () -> refuse(worker, order));
            return;
        }
        OrderResult result = execute(worker, order, sentTo);
        if (result == OrderResult.OK && order instanceof WorkerOrder.Hold hold) {
            waitForRunEnd(worker, worker.incarnation(), hold, time.nowMillis() + hold.waitMillis());
        } else {
            time.schedule(1 + random.nextInt(4), () -> answer(order, result));
        }
    }

    /**
     * Returns whether an order may be sent to the present incarnation of a worker. The client of the workers sends no other one, as
     * the connection on which it would be sent has ended with the former incarnation.
     */
    private static boolean isMeantFor(EmulatedWorker worker, WorkerOrder order) {
        WorkerIncarnation meant = WorkerIncarnation.UNKNOWN;
        if (order instanceof WorkerOrder.Start start) {
            meant = start.incarnation();
        } else if (order instanceof WorkerOrder.Hold hold) {
            meant = hold.incarnation();
        }
        return !meant.isKnown() || meant.equals(worker.presentIncarnation());
    }

    private void refuse(EmulatedWorker worker, WorkerOrder order) {
        if (order instanceof WorkerOrder.Hold && !stopped) {
            scheduler.statusReceived(order.worker(), worker.status(), time.moment());
        } else {
            answer(order, OrderResult.OTHER_INCARNATION);
        }
    }

    private void waitForRunEnd(EmulatedWorker worker, int incarnation, WorkerOrder.Hold hold, long untilMillis) {
        if (!worker.reachable() || worker.incarnation() != incarnation) {
            time.schedule(CALL_TIMEOUT_MILLIS, () -> answer(hold, OrderResult.NO_ANSWER));
        } else if (worker.hasEndAfter(hold.lastEnd()) || time.nowMillis() >= untilMillis) {
            var status = worker.status();
            time.schedule(1 + random.nextInt(4), () -> {
                if (!stopped) {
                    scheduler.statusReceived(hold.worker(), status, time.moment());
                }
            });
        } else {
            time.schedule(10, () -> waitForRunEnd(worker, incarnation, hold, untilMillis));
        }
    }

    private OrderResult execute(EmulatedWorker worker, WorkerOrder order, int sentTo) {
        if (order instanceof WorkerOrder.Start start) {
            return worker.start(start, token, platform.startContext(start));
        } else if (order instanceof WorkerOrder.Stop stop) {
            return worker.stop(stop, token);
        } else if (order instanceof WorkerOrder.Hold hold) {
            return worker.hold(hold, token, sentTo);
        }
        return OrderResult.OK;
    }

    private void answer(WorkerOrder order, OrderResult result) {
        if (!stopped) {
            scheduler.orderAnswered(order, result, time.moment());
        }
    }

    @Override
    public void requestAdvice(AdviceRequest request) {
        throw new IllegalStateException("advice requested, but no queue of the emulator is configured with advice");
    }

    @Override
    public void commit(Commit commit) {
        String commitId = token + ":" + commit.number();
        commitPendingSinceMillis.put(commitId, time.nowMillis());
        tryCommit(commit, platform.store().lastCommitId(), commitId);
    }

    private void tryCommit(Commit commit, String expected, String commitId) {
        if (stopped) {
            return;
        }
        long sent = time.nowMillis();
        time.schedule(2 + random.nextInt(5), () -> {
            if (platform.storeDown()) {
                retry(commit, expected, commitId);
                return;
            }
            boolean answerLost = random.nextInt(1_000) < platform.lostPerThousand();
            EmulatedStore.Outcome outcome = platform.store().commit(token, expected, commitId, commit);
            if (answerLost) {
                retry(commit, expected, commitId);
            } else if (outcome == EmulatedStore.Outcome.DONE) {
                commitPendingSinceMillis.remove(commitId);
                ownershipConfirmedMillis = Math.max(ownershipConfirmedMillis, sent);
                if (!stopped) {
                    scheduler.commitStored(commit.number(), time.moment());
                }
            } else {
                stopped = true;
            }
        });
    }

    private void retry(Commit commit, String expected, String commitId) {
        time.schedule(120, () -> tryCommit(commit, expected, commitId));
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {
        platform.phaseStored(job, phase);
    }

    @Override
    public void ownershipLost(String worker) {
        stopped = true;
    }

    @Override
    public void logDecision(Decision decision) {
        platform.recordDecision(decision);
    }
}
