package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.OrderResult;
import org.trefoilpost.decision.job.PoolActions;
import org.trefoilpost.decision.job.PoolDemand;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.decision.job.PoolScheduler;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.SubmitResult;
import org.trefoilpost.decision.job.WorkerOrder;

/**
 * Runs the scheduler of a pool that this entry owns: carries its decisions out and brings it the results.
 */
final class PoolRunner implements PoolActions {
    private static final long MAX_PENDING_COMMIT_MILLIS = 800;
    private static final long OWNER_CHECK_INTERVAL_MILLIS = 1_000;
    private static final long RESULT_BATCH_MILLIS = 5;
    private static final long MACHINE_LIST_INTERVAL_MILLIS = 700;
    private static final long REGISTRY_SETTLE_MILLIS = 2_300;

    private final String pool;
    private final long token;
    private final JobContext context;
    private final Runnable onOwnershipLost;
    private final PoolScheduler scheduler;
    private final PoolStore store;
    private final Map<String, List<CompletableFuture<JobReply>>> repliesAwaitingStore = new HashMap<>();
    private long ownerConfirmedMillis;
    private long lastOwnerCheckMillis;
    private boolean ownerCheckInFlight;
    private boolean machineListInFlight;
    private long lastMachineListMillis;
    private boolean tickScheduled;
    private boolean open;
    private boolean closed;
    private PoolInstructions instructions = PoolInstructions.NONE;

    PoolRunner(String pool, long token, JobContext context, Runnable onDeposed) {
        this.pool = pool;
        this.token = token;
        this.context = context;
        this.onOwnershipLost = onDeposed;
        this.scheduler = new PoolScheduler(pool, context.settings().timeouts(), this);
        this.store = new PoolStore(pool, token, context);
        this.ownerConfirmedMillis = context.now().steadyMillis();
        this.lastOwnerCheckMillis = ownerConfirmedMillis;
    }

    String pool() {
        return pool;
    }

    long token() {
        return token;
    }

    boolean isOpen() {
        return open && !closed;
    }

    /**
     * Reads the stored jobs and opens the scheduler with them.
     */
    void start(Map<String, QueueConfig> queues, WorkerRegistry registry) {
        scheduler.configure(queues);
        registry.refresh(() -> load(registry));
    }

    private void load(WorkerRegistry registry) {
        store.load(
                documents -> {
                    if (!closed) {
                        Moment now = context.now();
                        long settles = registry.reconnectedMillis() + REGISTRY_SETTLE_MILLIS;
                        scheduler.open(documents, registry.workersOfPool(pool), settles, now);
                        scheduler.instruct(instructions);
                        open = true;
                        tick();
                    }
                },
                () -> closed,
                this::loseOwnership);
    }

    void configure(Map<String, QueueConfig> queues) {
        scheduler.configure(queues);
    }

    void updateWorkers(Collection<RegisteredWorker> workers) {
        if (isOpen()) {
            scheduler.updateWorkers(workers, context.now());
            tick();
        }
    }

    /**
     * Stops without another word: another entry owns the pool, or will.
     */
    void close() {
        closed = true;
        repliesAwaitingStore
                .values()
                .forEach(replies -> replies.forEach(
                        reply -> reply.complete(JobReply.of(JobReplyStatus.UNCERTAIN, "owner-changed"))));
        repliesAwaitingStore.clear();
    }

    /**
     * Forgets how recently the ownership was confirmed, because the process stood still for an unknown time.
     */
    void invalidateOwnerConfirmation() {
        ownerConfirmedMillis = Long.MIN_VALUE / 2;
        lastOwnerCheckMillis = Long.MIN_VALUE / 2;
    }

    void tick() {
        if (!isOpen()) {
            return;
        }
        Moment now = context.now();
        boolean allowed = now.steadyMillis() - ownerConfirmedMillis < PoolScheduler.ORDERS_WITHOUT_STORE_MILLIS;
        scheduler.tick(allowed, now);
        checkOwner(now.steadyMillis());
        checkSilentWorkers(now.steadyMillis());
    }

    /**
     * Asks the platform whether silent workers still live.
     */
    private void checkSilentWorkers(long nowMillis) {
        if (machineListInFlight || nowMillis - lastMachineListMillis < MACHINE_LIST_INTERVAL_MILLIS) {
            return;
        }
        Set<String> silent = scheduler.silentWorkers();
        if (silent.isEmpty()) {
            return;
        }
        machineListInFlight = true;
        lastMachineListMillis = nowMillis;
        context.onServiceThread(context.ports().machines().list(), (machines, failure) -> {
            machineListInFlight = false;
            if (failure == null && !closed) {
                Set<String> living = new HashSet<>();
                machines.forEach(machine -> living.add(machine.worker()));
                silent.stream()
                        .filter(worker -> !living.contains(worker))
                        .forEach(worker -> workerEnded(worker, "not-on-any-machine"));
            }
        });
    }

    /**
     * Lets the results of a moment gather before the next decisions.
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

    private void checkOwner(long nowMillis) {
        if (ownerCheckInFlight
                || nowMillis - Math.max(lastOwnerCheckMillis, ownerConfirmedMillis) < OWNER_CHECK_INTERVAL_MILLIS) {
            return;
        }
        ownerCheckInFlight = true;
        lastOwnerCheckMillis = nowMillis;
        context.onServiceThread(context.store().read(LiveEntries.ownerKey(pool)), (item, failure) -> {
            ownerCheckInFlight = false;
            if (failure == null && item.map(StorePort.Item::revision).orElse(0L) == token) {
                ownerConfirmedMillis = Math.max(ownerConfirmedMillis, nowMillis);
            } else if (failure == null && !closed) {
                loseOwnership("store");
            }
        });
    }

    private void loseOwnership(String how) {
        if (!closed) {
            context.logDecision(Decision.failure("pool-lost")
                    .with("pool", pool)
                    .with("token", token)
                    .with("reason", how));
            close();
            onOwnershipLost.run();
        }
    }

    CompletableFuture<JobReply> submit(JobSpec spec) {
        Moment now = context.now();
        boolean reachable = store.pendingMillis(now.steadyMillis()) < MAX_PENDING_COMMIT_MILLIS;
        SubmitResult answer = scheduler.submit(spec, reachable, now);
        context.logDecision((answer.kind() == SubmitResult.Kind.REFUSED
                        ? Decision.failure("job-refused")
                        : Decision.of("job-submitted"))
                .with("job", spec.id())
                .with("queue", spec.queue())
                .with("pool", pool)
                .with("token", token)
                .with("outcome", answer.kind().name())
                .with("reason", answer.reason())
                .with("retryAfterMillis", answer.retryAfterMillis()));
        return switch (answer.kind()) {
            case STORED -> CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.DONE, answer.reason()));
            case PENDING -> whenStored(spec.id());
            case REFUSED -> CompletableFuture.completedFuture(refusal(answer));
        };
    }

    private static JobReply refusal(SubmitResult answer) {
        JobReplyStatus status =
                answer.reason().equals("overload") || answer.reason().equals("fits-no-worker")
                        ? JobReplyStatus.REJECTED
                        : JobReplyStatus.UNAVAILABLE;
        return JobReply.refusal(status, answer.reason(), answer.retryAfterMillis());
    }

    CompletableFuture<JobReply> cancel(String job) {
        Optional<JobPhase> phase = scheduler.cancel(job, context.now());
        if (phase.isEmpty()) {
            return CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.NO_JOB, "unknown-job"));
        }
        context.logDecision(Decision.of("job-cancelled")
                .with("job", job)
                .with("pool", pool)
                .with("phase", phase.get().name()));
        return scheduler.isStored(job)
                ? CompletableFuture.completedFuture(JobReply.of(JobReplyStatus.DONE, "cancelled"))
                : whenStored(job);
    }

    JobReply phase(String job) {
        return scheduler
                .phase(job)
                .map(JobReply::ofPhase)
                .orElseGet(() -> JobReply.of(JobReplyStatus.NO_JOB, "unknown-job"));
    }

    JobReply queuedJobs(String queue) {
        return JobReply.ofQueuedJobs(scheduler.queuedJobs(queue));
    }

    private CompletableFuture<JobReply> whenStored(String job) {
        CompletableFuture<JobReply> reply = new CompletableFuture<>();
        repliesAwaitingStore.computeIfAbsent(job, id -> new ArrayList<>()).add(reply);
        tickSoon();
        return reply;
    }

    /**
     * Takes in what the owner of the machines decided, and returns the load.
     */
    PoolDemand instruct(PoolInstructions given) {
        instructions = given;
        scheduler.instruct(given);
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
        context.onServiceThread(context.ports().workers().send(order, token), (answer, failure) -> {
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
                scheduler.orderAnswered(order, answer.result(), now);
            }
            context.metrics().record("trefoilpost.jobs.order.time", kind, now.steadyMillis() - sentMillis);
            tickSoon();
        });
    }

    @Override
    public void requestAdvice(AdviceRequest request) {
        context.onServiceThread(context.ports().advice().requestAdvice(request), (advice, failure) -> {
            if (closed) {
                return;
            }
            if (failure == null) {
                scheduler.adviceReceived(request, advice.tickets(), advice.validMillis(), context.now());
            } else {
                scheduler.adviceReceived(request, Map.of(), 0, context.now());
            }
            tickSoon();
        });
    }

    @Override
    public void commit(Commit commit) {
        long sentMillis = context.now().steadyMillis();
        store.commit(commit, sentMillis, this::commitStored, () -> closed, this::loseOwnership);
    }

    private void commitStored(Commit commit, long confirmed) {
        ownerConfirmedMillis = Math.max(ownerConfirmedMillis, confirmed);
        scheduler.commitStored(commit.number(), context.now());
        tickSoon();
    }

    @Override
    public void phaseStored(String job, JobPhase phase) {
        List<CompletableFuture<JobReply>> replies = repliesAwaitingStore.remove(job);
        if (replies != null) {
            replies.forEach(reply -> reply.complete(JobReply.of(JobReplyStatus.DONE, "stored")));
        }
    }

    @Override
    public void ownershipLost(String worker) {
        context.execute(() -> loseOwnership("worker " + worker));
    }

    @Override
    public void logDecision(Decision decision) {
        context.logDecision(decision);
    }
}
