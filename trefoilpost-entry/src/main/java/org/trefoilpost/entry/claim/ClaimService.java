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
import java.util.function.Consumer;
import org.trefoilpost.decision.claim.ClaimKey;
import org.trefoilpost.decision.claim.ClaimSettings;
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
 * The duty that claims idempotency keys. Its methods may be called from any thread.
 *
 * <p>A key belongs to a shard, and a shard has one preferred owner among the live entries. A request at another entry is
 * forwarded there. Which entry really owns a shard is settled by the shard's journal alone.
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
     * Starts the duty.
     *
     * @param settings  the entry's settings, not null
     * @param store  the platform's key-value service, not null
     * @param ports  the other duties and the peers, not null
     * @param metrics  the metrics, not null
     * @param clock  the clock, not null
     * @return the duty, not null
     */
    public static ClaimService start(
            EntrySettings settings, KeyValueStore store, ClaimPorts ports, EntryMetrics metrics, MillisClock clock) {
        ClaimService claims = new ClaimService(settings, store, ports, metrics, clock);
        claims.serviceThread.start(Consumer::accept);
        claims.serviceThread.post(claims::rebalance);
        return claims;
    }

    /**
     * Carries a request with a key to its verdict, here or at the owner of the key's shard.
     *
     * @param request  the request, not null
     * @return the outcome, not null; never fails
     */
    public CompletableFuture<RequestOutcome> submit(CallerRequest request) {
        ClaimKey key = ClaimKey.parse(request.idempotencyKey().orElseThrow());
        int shard = shardMap.shardOf(key);
        EntryId owner = shardMap.preferredOwner(shard).orElse(self);
        if (owner.equals(self)) {
            return claim(request, key, shard);
        }
        metrics.count("trefoilpost.claims.forwarded", "other-owner");
        return ports.forward(owner, request).exceptionally(ClaimService::forwardFailureOutcome);
    }

    /**
     * Carries a request that a peer forwarded to its verdict.
     *
     * @param request  the request, not null
     * @return the outcome, not null; never fails
     */
    public CompletableFuture<RequestOutcome> submitForwarded(CallerRequest request) {
        ClaimKey key = ClaimKey.parse(request.idempotencyKey().orElseThrow());
        return claim(request, key, shardMap.shardOf(key));
    }

    /**
     * Takes in claims and answers that the former owner of a shard passed on.
     *
     * @param handOver  the claims and answers, not null
     */
    public void receiveHandOver(HandOver handOver) {
        if (handOver.shard() >= 0 && handOver.shard() < shardCount) {
            serviceThread.post(now -> runner(handOver.shard()).step(HandOverReceived.of(handOver), now));
        }
    }

    /**
     * Takes in the epochs that a peer told of the shards it owns.
     *
     * @param told  the epochs by shard, not null
     */
    public void observeEpochs(Map<Integer, Long> told) {
        serviceThread.post(now -> told.forEach((shard, epoch) -> {
            if (shard >= 0 && shard < shardCount) {
                runner(shard).step(EpochObserved.of(epoch), now);
            }
        }));
    }

    /**
     * Returns the epochs of the shards that this entry owns.
     *
     * @return the epochs by shard, not null
     */
    public Map<Integer, Long> ownedEpochs() {
        return ownedEpochs;
    }

    /**
     * Passes all shards on to the other entries, since this entry is about to stop.
     */
    public void releaseShards() {
        leaving = true;
        serviceThread.post(this::rebalanceNow);
    }

    /**
     * Ends the duty's thread.
     */
    @Override
    public void close() {
        serviceThread.close();
    }

    private CompletableFuture<RequestOutcome> claim(CallerRequest request, ClaimKey key, int shard) {
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        PendingClaim open = new PendingClaim(request, key, shard, outcome);
        if (!serviceThread.offer(now -> claim(open, now))) {
            outcome.complete(refused(RefusalReason.RING_FULL));
        }
        return outcome;
    }

    private void claim(PendingClaim open, long nowMillis) {
        ShardRunner runner = runner(open.shard());
        boolean preferred =
                shardMap.preferredOwner(open.shard()).map(self::equals).orElse(true);
        if (leaving || !preferred && !runner.isOwner()) {
            open.outcome().complete(refused(RefusalReason.OWNER_UNREACHABLE));
            return;
        }
        runner.claim(open, nowMillis);
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
        ShardMap present = ShardMap.of(shardCount, live);
        shardMap = present;
        Map<Integer, Long> owned = new HashMap<>();
        runners.forEach((shard, runner) -> {
            EntryId preferred = present.preferredOwner(shard).orElse(self);
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
