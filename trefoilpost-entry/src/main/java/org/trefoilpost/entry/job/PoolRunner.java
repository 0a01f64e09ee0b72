package org.trefoilpost.entry.job;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.OrderPermission;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.PoolActions;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.decision.job.PoolScheduler;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.RegistryAbsences;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Runs the scheduler of a pool that this entry owns: carries out its decisions and passes the results to it. Used on
 * the service's thread only.
 */
final class PoolRunner implements PoolActions, ClaimHolder {
    private static final long OWNER_CHECK_INTERVAL_MILLIS = 1_000;

    /** Delay after a result, so that further results are handled in the same tick. */
    private static final long RESULT_BATCH_MILLIS = 5;

    private final String pool;
    private final JobContext context;
    private final WorkerRegistry registry;
    private final ConfigurationGuard configurationGuard;
    private final Runnable onOwnershipLost;
    private final PoolScheduler scheduler;
    private final PoolStore store;
    private final TeamStore teamStore;
    private final SilentWorkerCheck silentWorkerCheck;
    private final PoolRequests requests;
    private final OwnerCheck ownerCheck;
    private long token;
    private boolean lapsed;
    private long ownerConfirmedMillis;
    private boolean tickScheduled;
    private boolean open;
    private boolean closed;
    private PoolInstructions instructions = PoolInstructions.NONE;

    PoolRunner(
            String pool,
            long token,
            JobContext context,
            WorkerRegistry registry,
            ConfigurationGuard configurationGuard,
            Runnable onOwnershipLost) {
        this.pool = pool;
        this.token = token;
        this.context = context;
        this.registry = registry;
        this.configurationGuard = configurationGuard;
        this.onOwnershipLost = onOwnershipLost;
        this.scheduler = new PoolScheduler(pool, context.settings().timeouts(), this);
        this.store = new PoolStore(pool, token, context);
        this.teamStore = new TeamStore(pool, this::token, context, scheduler, this::tickSoon);
        this.requests = new PoolRequests(this, context, scheduler, store, configurationGuard, this::tickSoon);
        this.silentWorkerCheck = new SilentWorkerCheck(context, this::workerEnded);
        this.ownerCheck = new OwnerCheck(this, context, this::ownerConfirmed);
        this.ownerConfirmedMillis = context.now().steadyMillis();
    }

    @Override
    public String pool() {
        return pool;
    }

    @Override
    public long token() {
        return token;
    }

    @Override
    public long firstToken() {
        return store.firstToken();
    }

    @Override
    public long counterRevision() {
        return store.counterRevision();
    }

    @Override
    public boolean isLapsed() {
        return lapsed;
    }

    @Override
    public void claimLapsed() {
        if (!isOpen()) {
            loseOwnership("lapsed-while-loading");
        } else if (!lapsed) {
            lapsed = true;
            context.logDecision(Decision.failure("claim-lapsed")
                    .with("pool", pool)
                    .with("token", token)
                    .with("confirmedAge", context.now().steadyMillis() - ownerConfirmedMillis));
        }
    }

    @Override
    public void claimRenewed(long newToken, Moment requested) {
        context.logDecision(Decision.of("claim-renewed")
                .with("pool", pool)
                .with("token", newToken)
                .with("formerToken", token));
        lapsed = false;
        token = newToken;
        ownerConfirmed(requested);
        store.claimRenewed(newToken);
        tick();
    }

    @Override
    public boolean isOwnCounter(StorePort.Item counter) {
        return store.isOwnCounter(counter);
    }

    @Override
    public void claimLost(String reason) {
        loseOwnership(reason);
    }

    boolean awaitsMachines() {
        return instructions.arrivingMachines() > 0;
    }

    boolean isOpen() {
        return open && !closed;
    }

    /**
     * Loads the registry and the stored jobs, and opens the scheduler with them.
     */
    void start(Map<String, QueueConfig> queues, Teams teams) {
        configure(queues, teams);
        registry.refresh(this::load);
    }

    private void load() {
        store.load(
                documents -> scheduler.load(documents, context.now()),
                this::open,
                failure -> loseOwnership("load-failed: " + failure),
                () -> closed);
    }

    private void open() {
        Moment now = context.now();
        long registryCompleteMillis = registry.reconnectedMillis() + RegistryAbsences.REGISTRATION_MILLIS;
        scheduler.open(
                registry.workersOfPool(pool),
                registry.delistedWorkers(pool, store.loadedWorkers()),
                registryCompleteMillis,
                now);
        scheduler.instruct(instructions);
        open = true;
        tick();
    }

    /**
     * Sends the open commit again, as the store may have returned after a silence or its connection may have gone silent.
     */
    void sendCommitAgain() {
        store.sendAgain();
        teamStore.watchAgain();
    }

    void configure(Map<String, QueueConfig> queues, Teams teams) {
        scheduler.configure(queues, context.settings().teamPolicy().keysRequired() ? teams : Teams.NONE);
        teamStore.configure(queues, teams);
        store.configure(queues.values().stream().collect(Collectors.toMap(QueueConfig::name, QueueConfig::address)));
        requests.passOnMovedJobs();
    }

    void updateWorkers(Collection<RegisteredWorker> workers) {
        if (isOpen()) {
            scheduler.updateWorkers(workers, context.now());
            tick();
        }
    }

    /**
     * Stops without further orders or commits, because another entry owns the pool or will claim it. Replies that are
     * awaited become uncertain.
     */
    void close() {
        closed = true;
        teamStore.close();
        context.metrics().waits().remove(pool);
        requests.ownerChanged();
    }

    /**
     * Discards the time of the last confirmation of the ownership, because the process was suspended for an unknown
     * time. No new orders are allowed until the ownership is confirmed again.
     */
    void invalidateOwnerConfirmation() {
        ownerConfirmedMillis = Long.MIN_VALUE / 2;
        ownerCheck.forgetRequest();
    }

    void tick() {
        if (!isOpen()) {
            return;
        }
        Moment now = context.now();
        boolean ownerConfirmed = now.steadyMillis() - ownerConfirmedMillis < PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS;
        // Without decisions, callers are still answered and the ownership is still checked.
        context.runPart("decisions for pool " + pool, () -> {
            scheduler.findGoneWorkers(registry, now);
            scheduler.tick(OrderPermission.of(ownerConfirmed, registry.areCapacitiesKnown(now)), now);
        });
        if (!store.isReachable(now.steadyMillis())) {
            requests.refuseUnsentJobs();
        }
        if (store.awaitsClaim()) {
            claimLapsed();
        }
        checkOwner(now);
        teamStore.updateGauges(now.steadyMillis());
        context.metrics().waits().update(pool, scheduler.longestWaits());
        silentWorkerCheck.run(scheduler.silentWorkers(), now.steadyMillis());
    }

    /**
     * Schedules a tick, unless one is scheduled, so that results that arrive together are handled together.
     */
    private void tickSoon() {
        if (!tickScheduled) {
            tickScheduled = true;
            context.schedule(RESULT_BATCH_MILLIS, () -> {
                tickScheduled = false;
                tick();
            });
        }
    }

    /**
     * Confirms in the store that this entry still owns the pool, if nothing has confirmed it recently.
     */
    private void checkOwner(Moment now) {
        long lastMillis = Math.max(ownerCheck.requestedMillis(), ownerConfirmedMillis);
        if (now.steadyMillis() - lastMillis >= OWNER_CHECK_INTERVAL_MILLIS) {
            ownerCheck.request(now);
        }
    }

    private void ownerConfirmed(Moment requested) {
        ownerConfirmedMillis = Math.max(ownerConfirmedMillis, requested.steadyMillis());
    }

    private void loseOwnership(String reason) {
        if (!closed) {
            context.logDecision(Decision.failure("pool-lost")
                    .with("pool", pool)
                    .with("token", token)
                    .with("reason", reason));
            close();
            onOwnershipLost.run();
        }
    }

    Optional<String> teamOfJob(String job) {
        return scheduler.teamOfJob(job);
    }

    /**
     * Returns what carries out the requests of callers to this pool.
     */
    PoolRequests requests() {
        return requests;
    }

    /**
     * Applies the instructions of the owner of the machines, and returns the pool's demand.
     */
    PoolDemand instruct(PoolInstructions newInstructions) {
        instructions = newInstructions;
        scheduler.instruct(newInstructions);
        return scheduler.demand(context.now());
    }

    void workerEnded(String worker, String reason) {
        if (isOpen()) {
            scheduler.workerEnded(worker, reason, context.now());
        }
    }

    @Override
    public void send(WorkerOrder order) {
        long sentMillis = context.now().steadyMillis();
        long orderToken = token;
        context.call(() -> context.ports().workers().send(order, orderToken), (answer, failure) -> {
            if (closed) {
                return;
            }
            String kind = order.getClass().getSimpleName();
            Moment now = context.now();
            if (failure != null) {
                scheduler.orderAnswered(order, OrderResult.NO_ANSWER, now);
            } else if (answer.status().isPresent()) {
                scheduler.statusReceived(order.worker(), answer.status().get(), now);
            } else {
                scheduler.orderAnswered(order, resultUnder(orderToken, answer.result()), now);
            }
            context.metrics().record("trefoilpost.jobs.order.time", kind, now.steadyMillis() - sentMillis);
            tickSoon();
        });
    }

    private OrderResult resultUnder(long orderToken, OrderResult result) {
        // A worker that has had an order under the renewed claim refuses those from before.
        return result == OrderResult.FENCED && orderToken != token ? OrderResult.OLD_TOKEN : result;
    }

    @Override
    public void requestAdvice(AdviceRequest request) {
        context.adviceCalls().request(request, () -> !closed, (result, callMillis) -> {
            if (!closed) {
                scheduler.adviceReceived(request, result, callMillis, context.now());
                tickSoon();
            }
        });
    }

    @Override
    public void commit(Commit commit) {
        long sentMillis = context.now().steadyMillis();
        // A configuration may have moved a queue. The store decides which of the change and the acceptance is the
        // earlier one.
        Map<String, Long> configuration = commit.acceptsJobs() ? configurationGuard.condition() : Map.of();
        store.commit(commit, configuration, sentMillis, new CommitOutcome());
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {
        requests.phaseStored(job, phase);
    }

    @Override
    public void ownershipLost(String worker) {
        context.execute(() -> loseOwnership("worker " + worker));
    }

    @Override
    public void logDecision(Decision decision) {
        context.logDecision(decision);
    }

    /**
     * Passes the outcome of a commit to the scheduler.
     */
    private final class CommitOutcome implements PoolStore.CommitListener {
        @Override
        public boolean isCancelled() {
            return closed;
        }

        @Override
        public void committed(Commit commit, long confirmedMillis) {
            ownerConfirmedMillis = Math.max(ownerConfirmedMillis, confirmedMillis);
            scheduler.commitStored(commit.number(), context.now());
            tickSoon();
        }

        @Override
        public void rejected(Commit commit, StorePort.Item configuration) {
            context.logDecision(Decision.failure("commit-outdated")
                    .with("pool", pool)
                    .with("number", commit.number())
                    .with("jobs", commit.puts().size())
                    .with("version", configurationGuard.version())
                    .with("revision", configuration.revision()));
            configurationGuard.itemFound(configuration);
            scheduler.commitRejected(commit.number(), context.now());
            requests.passOnMovedJobs();
            tickSoon();
        }

        @Override
        public void ownershipLost(String reason) {
            loseOwnership(reason);
        }
    }
}
