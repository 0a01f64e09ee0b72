package org.trefoilpost.entry.claim;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.trefoilpost.decision.claim.ClaimKey;
import org.trefoilpost.decision.claim.ClaimSettings;
import org.trefoilpost.decision.claim.EntryStopping;
import org.trefoilpost.decision.claim.EpochObserved;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.decision.claim.HandOverReceived;
import org.trefoilpost.decision.claim.HandOverRequested;
import org.trefoilpost.decision.claim.ShardMap;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.peer.PeerCallException;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.entry.settings.EntrySettings;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Claims idempotency keys on a thread of its own. Safe for use by many threads.
 *
 * <p>A key belongs to a shard, and each shard has one preferred owner among the live entries, to which the other entries
 * forward requests. Only the shard's journal decides which entry actually owns it.
 */
public final class ClaimService implements AutoCloseable {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long REBALANCE_INTERVAL_MILLIS = 500;

    private final EntryId self;
    private final ClaimPorts ports;
    private final EntryMetrics metrics;
    private final int shardCount;
    private final ServiceThread<Consumer<Long>> serviceThread;
    private final Map<Integer, ShardRunner> runners = new HashMap<>();
    private final ShardRunner.Factory factory;
    private final Set<CompletableFuture<RequestOutcome>> forwarded = ConcurrentHashMap.newKeySet();
    private final AtomicInteger pendingRequests = new AtomicInteger();
    private volatile ShardMap shardMap;
    private volatile Map<Integer, Long> ownedEpochs = Map.of();
    private volatile boolean leaving;

    private ClaimService(
            EntrySettings settings, KeyValueStore store, ClaimPorts ports, EntryMetrics metrics, MillisClock clock) {
        this.self = settings.entryId();
        this.ports = ports;
        this.metrics = metrics;
        this.shardCount = settings.claimShards();
        this.serviceThread = ServiceThread.of("claims", settings.ringCapacity(), clock);
        this.shardMap = ShardMap.of(shardCount, Set.of(self));
        ClaimSettings limits = ClaimSettings.builder()
                .grantedWrites(settings.grantedWritesPerSecond(), shardCount)
                .retentionMillis(settings.keyRetentionMillis())
                .maxAnswerBytes(Math.max(1, settings.replayMemoryBytes() / shardCount))
                .build();
        long incarnation = new SecureRandom().nextLong();
        this.factory = new ShardRunner.Factory(self, incarnation, limits, store, ports, metrics, serviceThread);
    }

    /**
     * Starts the service and its thread.
     *
     * @param settings  the entry's settings, not null
     * @param store  the platform's key-value service, which holds the journals of the shards, not null
     * @param ports  the access to the request service and the peers, not null
     * @param metrics  the metrics to update, not null
     * @param clock  the clock for deadlines and timers, not null
     * @return the running service, not null
     */
    public static ClaimService start(
            EntrySettings settings, KeyValueStore store, ClaimPorts ports, EntryMetrics metrics, MillisClock clock) {
        ClaimService service = new ClaimService(settings, store, ports, metrics, clock);
        service.serviceThread.start(Consumer::accept);
        service.serviceThread.post(service::rebalance);
        return service;
    }

    /**
     * Runs a request with an idempotency key, at this entry or at the preferred owner of the key's shard.
     *
     * @param request  the request, which has an idempotency key, not null
     * @return the future outcome, which never completes exceptionally unless it is cancelled, not null
     */
    public CompletableFuture<RequestOutcome> submit(CallerRequest request) {
        ClaimKey key = ClaimKey.parse(request.idempotencyKey().orElseThrow());
        int shard = shardMap.shardOf(key);
        EntryId owner = shardMap.preferredOwner(shard).orElse(self);
        if (owner.equals(self)) {
            return claim(request, key, shard);
        }
        metrics.count("trefoilpost.claims.forwarded", "other-owner");
        CompletableFuture<RequestOutcome> outcome =
                ports.forward(owner, request).exceptionally(ClaimService::forwardFailureOutcome);
        forwarded.add(outcome);
        outcome.whenComplete((value, failure) -> forwarded.remove(outcome));
        return counted(outcome);
    }

    /**
     * Runs a request that a peer forwarded; it is not forwarded again.
     *
     * @param request  the request, which has an idempotency key, not null
     * @return the future outcome, which never completes exceptionally unless it is cancelled, not null
     */
    public CompletableFuture<RequestOutcome> submitForwarded(CallerRequest request) {
        ClaimKey key = ClaimKey.parse(request.idempotencyKey().orElseThrow());
        return claim(request, key, shardMap.shardOf(key));
    }

    /**
     * Receives the claims that the previous owner of a shard hands over. An unknown shard number is ignored.
     *
     * @param handOver  the claims and the responses recorded for them, not null
     */
    public void receiveHandOver(HandOver handOver) {
        if (handOver.shard() >= 0 && handOver.shard() < shardCount) {
            serviceThread.post(now -> runner(handOver.shard()).step(HandOverReceived.of(handOver), now));
        }
    }

    /**
     * Records the epochs that a peer reported for the shards that it owns. Unknown shard numbers are ignored.
     *
     * @param epochsByShard  the epoch of each shard, not null
     */
    public void observeEpochs(Map<Integer, Long> epochsByShard) {
        serviceThread.post(now -> epochsByShard.forEach((shard, epoch) -> {
            if (shard >= 0 && shard < shardCount) {
                runner(shard).step(EpochObserved.of(epoch), now);
            }
        }));
    }

    /**
     * Returns the epochs of the shards that this entry owns, as of the last rebalancing.
     *
     * @return the unmodifiable epochs by shard, not null
     */
    public Map<Integer, Long> ownedEpochs() {
        return ownedEpochs;
    }

    /**
     * Hands all shards over to the other live entries, because this entry is about to stop.
     */
    public void releaseShards() {
        leaving = true;
        serviceThread.post(this::rebalanceNow);
    }

    /**
     * Returns the number of requests without an outcome, from callers and from peers.
     *
     * @return the number, not negative
     */
    public int pendingRequests() {
        return pendingRequests.get();
    }

    /**
     * Ends the requests that wait for a claim or for another entry, because this entry stops. The outcome of those
     * that were dispatched here comes from the request service.
     */
    public void endPending() {
        leaving = true;
        serviceThread.post(now -> runners.values().forEach(runner -> runner.step(EntryStopping.of(), now)));
        RequestOutcome lost = RequestOutcome.of(Verdict.mayHaveRun(UncertaintyReason.OWNER_LOST));
        forwarded.forEach(outcome -> outcome.complete(lost));
    }

    /**
     * Stops the service thread.
     */
    @Override
    public void close() {
        serviceThread.close();
    }

    private CompletableFuture<RequestOutcome> claim(CallerRequest request, ClaimKey key, int shard) {
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        PendingClaim pending = new PendingClaim(request, key, shard, outcome);
        if (!serviceThread.offer(now -> claim(pending, now))) {
            outcome.complete(refused(RefusalReason.RING_FULL));
        }
        return counted(outcome);
    }

    private CompletableFuture<RequestOutcome> counted(CompletableFuture<RequestOutcome> outcome) {
        pendingRequests.incrementAndGet();
        outcome.whenComplete((value, failure) -> pendingRequests.decrementAndGet());
        return outcome;
    }

    private void claim(PendingClaim pending, long nowMillis) {
        ShardRunner runner = runner(pending.shard());
        boolean preferred =
                shardMap.preferredOwner(pending.shard()).map(self::equals).orElse(true);
        if (leaving || !preferred && !runner.isOwner()) {
            pending.outcome().complete(refused(RefusalReason.OWNER_UNREACHABLE));
            return;
        }
        runner.claim(pending, nowMillis);
    }

    private ShardRunner runner(int shard) {
        return runners.computeIfAbsent(shard, factory::create);
    }

    private void rebalance(long nowMillis) {
        rebalanceNow(nowMillis);
        serviceThread.schedule(nowMillis + REBALANCE_INTERVAL_MILLIS, this::rebalance);
    }

    private void rebalanceNow(long nowMillis) {
        Set<EntryId> live = new TreeSet<>(ports.liveEntries());
        if (leaving && live.size() > 1) {
            live.remove(self);
        }
        ShardMap current = ShardMap.of(shardCount, live);
        shardMap = current;
        Map<Integer, Long> owned = new HashMap<>();
        runners.forEach((shard, runner) -> {
            EntryId preferred = current.preferredOwner(shard).orElse(self);
            runner.nextOwner(preferred);
            if (runner.isOwner() && !preferred.equals(self)) {
                runner.step(HandOverRequested.of(), nowMillis);
            }
            runner.epoch().ifPresent(epoch -> owned.put(shard, epoch));
        });
        ownedEpochs = Collections.unmodifiableMap(owned);
    }

    private static RequestOutcome forwardFailureOutcome(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean sent = !(cause instanceof PeerCallException call) || call.possiblySent();
        return sent
                ? RequestOutcome.of(Verdict.mayHaveRun(UncertaintyReason.OWNER_LOST))
                : refused(RefusalReason.OWNER_UNREACHABLE);
    }

    private static RequestOutcome refused(RefusalReason reason) {
        return RequestOutcome.of(Verdict.notRun(reason, RETRY_AFTER));
    }
}
