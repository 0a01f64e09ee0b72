package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.OrderPermission;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.PoolActions;
import org.trefoilpost.decision.job.PoolScheduler;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.team.PoolTeamLimits;
import org.trefoilpost.decision.job.team.StoredGrants;
import org.trefoilpost.decision.job.team.TeamGrantWriter;
import org.trefoilpost.decision.job.team.TeamGrants;
import org.trefoilpost.decision.job.team.TeamGrantsCodec;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Emulates an owner of one of several pools with team limits, which can be killed, frozen and cut off from the store.
 */
final class TeamPoolOwner implements PoolActions, TeamGrantWriter {
    private static final long TICK_INTERVAL_MILLIS = 20;
    private static final long OWNERSHIP_CHECK_INTERVAL_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 700;
    /** The longest time until a watch shows a change, as its next call waits after each change. */
    private static final long WATCH_INTERVAL_MILLIS = 500;

    private final TeamPools pools;
    private final VirtualTime time;
    private final Random random;
    private final String pool;
    private final long token;
    private final PoolScheduler scheduler;
    private final PoolTeamLimits limits;
    private final Map<String, Long> seenRevisions = new HashMap<>();
    private final List<Runnable> deferred = new ArrayList<>();
    private Teams teams;
    private boolean stopped;
    private boolean frozen;
    private boolean cutOff;
    private boolean open;
    private long ownershipConfirmedMillis;

    TeamPoolOwner(TeamPools pools, String pool, long token, Teams teams) {
        this.pools = pools;
        this.time = pools.time();
        this.random = pools.random();
        this.pool = pool;
        this.token = token;
        this.scheduler = new PoolScheduler(pool, EmulatedPlatform.TIMEOUTS, this);
        this.limits = new PoolTeamLimits(pool, () -> token, this);
        this.ownershipConfirmedMillis = time.nowMillis();
        configure(teams);
        later(1 + random.nextInt(20), this::load);
        later(OWNERSHIP_CHECK_INTERVAL_MILLIS, this::checkOwnership);
    }

    private void load() {
        if (cutOff) {
            later(200, this::load);
            return;
        }
        Moment now = time.moment();
        scheduler.load(pools.jobs(pool).documents(), now);
        scheduler.open(pools.listedWorkers(pool), List.of(), now.steadyMillis(), now);
        open = true;
        // The grants are read apart from the jobs, so they may come before or after the first rounds of placements.
        later(random.nextInt(200), this::loadGrants);
        tick();
    }

    private void loadGrants() {
        if (cutOff) {
            later(200, this::loadGrants);
            return;
        }
        Map<String, StoredGrants> all = pools.keys().all();
        all.forEach((team, value) -> seenRevisions.put(team, value.revision()));
        limits.loaded(all, time.nowMillis());
        scheduler.grantsChanged();
        later(WATCH_INTERVAL_MILLIS, this::watch);
    }

    private void watch() {
        if (!cutOff) {
            pools.keys().all().forEach((team, value) -> {
                if (seenRevisions.getOrDefault(team, 0L) < value.revision()) {
                    seenRevisions.put(team, value.revision());
                    limits.changed(team, Optional.of(value), time.nowMillis());
                }
            });
            scheduler.grantsChanged();
        }
        later(WATCH_INTERVAL_MILLIS, this::watch);
    }

    void configure(Teams newTeams) {
        teams = newTeams;
        run(() -> {
            scheduler.configure(pools.queues(), newTeams);
            limits.configure(newTeams, pools.names().size(), time.nowMillis());
            scheduler.enforce(limits);
        });
    }

    Teams teams() {
        return teams;
    }

    String pool() {
        return pool;
    }

    boolean isStopped() {
        return stopped;
    }

    boolean isUndisturbed() {
        return open && !stopped && !frozen && !cutOff;
    }

    void kill() {
        stopped = true;
    }

    void freeze(boolean value) {
        frozen = value;
        if (!value) {
            List<Runnable> due = List.copyOf(deferred);
            deferred.clear();
            due.forEach(this::run);
        }
    }

    void cutOff(boolean value) {
        cutOff = value;
    }

    void registryChanged() {
        run(() -> {
            if (open) {
                scheduler.updateWorkers(pools.listedWorkers(pool), time.moment());
            }
        });
    }

    void submit(JobSpec job) {
        run(() -> {
            if (open) {
                scheduler.submit(job, !cutOff, time.moment());
            }
        });
    }

    void cancel(String job) {
        run(() -> scheduler.cancel(job, time.moment()));
    }

    private void later(long millis, Runnable event) {
        time.schedule(millis, () -> run(event));
    }

    /**
     * Runs an event of this owner: not after its end, and after the thaw if it is frozen.
     */
    private void run(Runnable event) {
        if (frozen) {
            deferred.add(event);
        } else if (!stopped) {
            event.run();
        }
    }

    private void checkOwnership() {
        long sent = time.nowMillis();
        if (!cutOff) {
            if (pools.keys().isClaimedWith(pool, token)) {
                ownershipConfirmedMillis = sent;
            } else {
                stopped = true;
            }
        }
        later(OWNERSHIP_CHECK_INTERVAL_MILLIS, this::checkOwnership);
    }

    private void tick() {
        boolean allowed = time.nowMillis() - ownershipConfirmedMillis < PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS;
        scheduler.tick(allowed ? OrderPermission.ALL : OrderPermission.NONE, time.moment());
        later(TICK_INTERVAL_MILLIS, this::tick);
    }

    @Override
    public void write(String team, TeamGrants grants) {
        byte[] value = TeamGrantsCodec.encode(grants);
        long expected = grants.revision();
        boolean unanswered = cutOff || random.nextInt(1_000) < pools.lostPerThousand();
        if (unanswered) {
            if (random.nextBoolean()) {
                // The store may carry out a call long after its sender has given up.
                long delay = cutOff ? 1_000 + random.nextInt(6_000) : random.nextInt(4_000);
                time.schedule(delay, () -> pools.keys().write(team, expected, pool, token, value));
            }
            later(CALL_TIMEOUT_MILLIS, () -> limits.writeUnanswered(team));
            return;
        }
        time.schedule(1 + random.nextInt(4), () -> {
            Optional<Long> revision = pools.keys().write(team, expected, pool, token, value);
            Optional<StoredGrants> current = pools.keys().read(team);
            later(1 + random.nextInt(4), () -> {
                if (revision.isPresent()) {
                    limits.writeStored(team, revision.get(), time.nowMillis());
                } else {
                    limits.writeRefused(team, "conflict", current, true, time.nowMillis());
                }
                scheduler.grantsChanged();
            });
        });
    }

    @Override
    public void read(String team) {
        if (cutOff) {
            later(CALL_TIMEOUT_MILLIS, () -> read(team));
            return;
        }
        time.schedule(1 + random.nextInt(4), () -> {
            Optional<StoredGrants> current = pools.keys().read(team);
            later(1 + random.nextInt(4), () -> limits.read(team, current, time.nowMillis()));
        });
    }

    @Override
    public void send(WorkerOrder order) {
        EmulatedWorker worker = pools.worker(order.worker());
        boolean lost = worker == null || !worker.reachable() || random.nextInt(1_000) < pools.lostPerThousand();
        if (!lost) {
            time.schedule(1 + random.nextInt(4), () -> deliver(worker, order));
            return;
        }
        later(CALL_TIMEOUT_MILLIS, () -> answer(order, OrderResult.NO_ANSWER));
        if (worker != null && random.nextBoolean()) {
            time.schedule(2_000 + random.nextInt(10_000), () -> {
                if (worker.isAlive()) {
                    pools.checks().setLateOrder(true);
                    execute(worker, order);
                    pools.checks().setLateOrder(false);
                }
            });
        }
    }

    private void deliver(EmulatedWorker worker, WorkerOrder order) {
        if (!worker.reachable()) {
            later(CALL_TIMEOUT_MILLIS, () -> answer(order, OrderResult.NO_ANSWER));
            return;
        }
        OrderResult result = execute(worker, order);
        if (result == OrderResult.OK && order instanceof WorkerOrder.Hold hold) {
            waitForRunEnd(worker, hold, time.nowMillis() + hold.waitMillis());
        } else {
            later(1 + random.nextInt(4), () -> answer(order, result));
        }
    }

    private void waitForRunEnd(EmulatedWorker worker, WorkerOrder.Hold hold, long untilMillis) {
        if (!worker.reachable()) {
            later(CALL_TIMEOUT_MILLIS, () -> answer(hold, OrderResult.NO_ANSWER));
        } else if (worker.hasEndAfter(hold.lastEnd()) || time.nowMillis() >= untilMillis) {
            var status = worker.status();
            later(1 + random.nextInt(4), () -> scheduler.statusReceived(hold.worker(), status, time.moment()));
        } else {
            time.schedule(10, () -> waitForRunEnd(worker, hold, untilMillis));
        }
    }

    private OrderResult execute(EmulatedWorker worker, WorkerOrder order) {
        if (order instanceof WorkerOrder.Start start) {
            int starts = pools.checks().starts();
            OrderResult result = worker.start(start, token, pools.startContext(start));
            if (pools.checks().starts() > starts) {
                pools.started(start.task().job(), pool);
            }
            return result;
        } else if (order instanceof WorkerOrder.Stop stop) {
            return worker.stop(stop, token);
        } else if (order instanceof WorkerOrder.Hold hold) {
            return worker.hold(hold, token);
        }
        return OrderResult.OK;
    }

    private void answer(WorkerOrder order, OrderResult result) {
        scheduler.orderAnswered(order, result, time.moment());
    }

    @Override
    public void requestAdvice(AdviceRequest request) {
        throw new IllegalStateException("advice requested, but no queue of the emulator is configured with advice");
    }

    @Override
    public void commit(Commit commit) {
        tryCommit(commit, pools.jobs(pool).lastCommitId(), token + ":" + commit.number());
    }

    private void tryCommit(Commit commit, String expected, String commitId) {
        later(2 + random.nextInt(5), () -> {
            if (cutOff) {
                later(120, () -> tryCommit(commit, expected, commitId));
                return;
            }
            EmulatedStore.Outcome outcome = pools.keys().isClaimedWith(pool, token)
                    ? pools.jobs(pool).commit(pools.jobs(pool).token(), expected, commitId, commit)
                    : EmulatedStore.Outcome.OWNERSHIP_LOST;
            if (outcome == EmulatedStore.Outcome.DONE) {
                scheduler.commitStored(commit.number(), time.moment());
            } else {
                stopped = true;
            }
        });
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {
        pools.phaseStored(job, phase);
    }

    @Override
    public void ownershipLost(String worker) {
        stopped = true;
    }

    @Override
    public void logDecision(Decision decision) {
        pools.recordDecision(pool + ":" + token, decision);
    }
}
