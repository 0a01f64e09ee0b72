package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;

/**
 * Registers this entry in the store and claims pools without an owner. All its keys are bound to one lease, which it
 * renews; the store removes them when the lease ends.
 */
final class PoolOwnership {
    private static final long LEASE_TTL_MILLIS = 2_000;
    private static final long RENEWAL_INTERVAL_MILLIS = 600;
    private static final long RETRY_DELAY_MILLIS = 200;
    /** Interval of calls while earlier ones are unanswered, so that the return of a silent store is noticed soon. */
    private static final long PROBE_INTERVAL_MILLIS = 300;

    private static final int MAX_LEASE_CALLS_IN_FLIGHT = 5;
    /** Delay of an entry's claim for each entry that ranks before it, so that the best candidate claims first. */
    private static final long RANK_DELAY_MILLIS = 250;

    /** Time in which the former owner of a pool may renew its claim before any other entry claims the pool. */
    private static final long FORMER_OWNER_DELAY_MILLIS = 150;

    /** The longest delay between the registration of this entry and its first claim. */
    private static final long MAX_FIRST_CLAIM_DELAY_MILLIS = 300;

    /** Time without further registrations after which the first claim is made, so that pools are spread over all entries. */
    private static final long SETTLE_MILLIS = 150;

    private static final String CLAIM_MARKER = "claim:";

    private final JobContext context;
    private final LiveEntries liveEntries;
    private final Listener listener;
    private final LiveEntries.Peer self;
    private final Set<String> claimsInFlight = new HashSet<>();
    private final Map<String, Long> nextRenewalMillis = new HashMap<>();
    private long lastRenewalNumber;
    private long lease;
    private int leaseCallsInFlight;
    private boolean storeSilent;
    private boolean registered;
    private long nextLeaseCallMillis;
    private long registeredAtMillis;
    private boolean leaving;

    PoolOwnership(JobContext context, LiveEntries liveEntries, String incarnation, Listener listener) {
        this.context = context;
        this.liveEntries = liveEntries;
        this.listener = listener;
        this.self = new LiveEntries.Peer(
                context.settings().name(),
                context.settings().peerAddress(),
                incarnation,
                context.settings().cpuMillis());
    }

    LiveEntries.Peer self() {
        return self;
    }

    /**
     * Obtains or renews the lease if that is due, and claims pools without an owner when this entry's rank allows it.
     */
    void tick(Set<String> pools, long nowMillis) {
        if (!leaving && nowMillis >= nextLeaseCallMillis && leaseCallsInFlight < MAX_LEASE_CALLS_IN_FLIGHT) {
            if (leaseCallsInFlight > 0 && !storeSilent) {
                storeSilent = true;
                context.store().renewConnections();
            }
            callLease(nowMillis);
        }
        recordOwnerless(pools, nowMillis);
        if (registered && !leaving && isSettled(nowMillis)) {
            Map<String, List<String>> ranking = OwnerRanking.of(pools, liveEntries);
            pools.forEach(pool -> claimIfDue(pool, ranking, nowMillis));
        }
    }

    /**
     * Records since when pools have no owner, also before this entry may claim them.
     */
    private void recordOwnerless(Set<String> pools, long nowMillis) {
        pools.stream()
                .filter(pool -> liveEntries.owner(pool).isEmpty())
                .forEach(pool -> liveEntries.ownerlessSinceMillis(pool, nowMillis));
    }

    private boolean isSettled(long nowMillis) {
        long lastRegistrationMillis = Math.max(registeredAtMillis, liveEntries.entryAddedMillis());
        return nowMillis - lastRegistrationMillis >= SETTLE_MILLIS
                || nowMillis - registeredAtMillis >= MAX_FIRST_CLAIM_DELAY_MILLIS;
    }

    /**
     * Ends the lease, which removes all keys, so that other entries can claim the pools without waiting for its expiry.
     */
    void leave(Runnable done) {
        leaving = true;
        long endingLease = lease;
        lease = 0;
        if (endingLease == 0) {
            done.run();
        } else {
            context.call(() -> context.store().endLease(endingLease), (value, failure) -> done.run());
        }
    }

    private void callLease(long nowMillis) {
        leaseCallsInFlight++;
        nextLeaseCallMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        if (lease == 0) {
            obtainLease();
        } else {
            renewLease(nowMillis);
        }
    }

    private void obtainLease() {
        context.call(() -> context.store().grantLease(LEASE_TTL_MILLIS), (granted, failure) -> {
            leaseCallAnswered(failure);
            // Another call may have obtained a lease meanwhile; an unused one expires.
            if (failure == null && !leaving && lease == 0) {
                lease = granted;
                nextLeaseCallMillis = context.now().steadyMillis() + RENEWAL_INTERVAL_MILLIS;
                register();
                listener.leaseObtained();
            }
        });
    }

    /**
     * Handles the end of a call about the lease. The first answer after a silence shows that the store has returned, while
     * other calls may still wait for answers that will not come.
     */
    private void leaseCallAnswered(Throwable failure) {
        leaseCallsInFlight--;
        if (failure != null) {
            nextLeaseCallMillis = Math.min(nextLeaseCallMillis, context.now().steadyMillis() + RETRY_DELAY_MILLIS);
        } else if (storeSilent) {
            storeSilent = false;
            listener.storeReturned();
        }
    }

    private void register() {
        long callLease = lease;
        StorePort.Put put = new StorePort.Put(LiveEntries.entryKey(self.name()), LiveEntries.encode(self), callLease);
        context.call(
                () -> context.store().commit(new StorePort.Change(Map.of(), List.of(put), List.of())),
                (revision, failure) -> {
                    if (failure == null && lease == callLease) {
                        registered = true;
                        registeredAtMillis = context.now().steadyMillis();
                        context.logDecision(Decision.of("entry-registered").with("lease", callLease));
                    } else if (failure instanceof StoreFailure storeFailure
                            && storeFailure.kind() == StoreFailure.Kind.LEASE_ENDED) {
                        handleLeaseEnd();
                    } else if (lease == callLease) {
                        context.schedule(RETRY_DELAY_MILLIS, this::register);
                    }
                });
    }

    private void renewLease(long nowMillis) {
        long callLease = lease;
        context.call(() -> context.store().renewLease(callLease), (renewed, failure) -> {
            leaseCallAnswered(failure);
            if (failure == null && lease == callLease) {
                nextLeaseCallMillis = Math.max(nextLeaseCallMillis, nowMillis + RENEWAL_INTERVAL_MILLIS);
                if (!renewed) {
                    handleLeaseEnd();
                }
            }
        });
    }

    private void handleLeaseEnd() {
        context.logDecision(Decision.failure("entry-lease-ended").with("lease", lease));
        lease = 0;
        registered = false;
        nextLeaseCallMillis = 0;
        listener.allClaimsLapsed();
    }

    private void claimIfDue(String pool, Map<String, List<String>> ranking, long nowMillis) {
        Optional<LiveEntries.Owner> owner = liveEntries.owner(pool);
        if (owner.isPresent() || claimsInFlight.contains(pool)) {
            return;
        }
        long sinceMillis = liveEntries.ownerlessSinceMillis(pool, nowMillis);
        int rank = ranking.getOrDefault(pool, List.of()).indexOf(self.name());
        long delayMillis = FORMER_OWNER_DELAY_MILLIS + rank * RANK_DELAY_MILLIS;
        if (rank >= 0 && nowMillis - sinceMillis >= delayMillis) {
            claim(pool);
        }
    }

    private void claim(String pool) {
        claimsInFlight.add(pool);
        long callLease = lease;
        String key = LiveEntries.ownerKey(pool);
        StorePort.Change change =
                new StorePort.Change(Map.of(key, 0L), claimPuts(pool, CLAIM_MARKER + self.incarnation()), List.of());
        context.call(() -> context.store().commit(change), (revision, failure) -> {
            claimsInFlight.remove(pool);
            if (failure == null && lease == callLease) {
                listener.poolClaimed(pool, revision);
            } else if (failure instanceof StoreFailure storeFailure
                    && storeFailure.kind() == StoreFailure.Kind.LEASE_ENDED
                    && lease == callLease) {
                handleLeaseEnd();
            } else if (failure != null) {
                context.logDecision(Decision.of("claim-failed")
                        .with("pool", pool)
                        .with("failure", String.valueOf(failure.getMessage())));
            }
        });
    }

    private List<StorePort.Put> claimPuts(String pool, String marker) {
        return List.of(
                new StorePort.Put(LiveEntries.ownerKey(pool), LiveEntries.encode(self), lease),
                new StorePort.Put(PoolStore.counterKey(pool), marker.getBytes(StandardCharsets.UTF_8), 0));
    }

    /**
     * Checks at the next opportunity whether the lease has ended, because a claim has vanished.
     */
    void checkLease() {
        nextLeaseCallMillis = Math.min(nextLeaseCallMillis, context.now().steadyMillis());
    }

    /**
     * Releases a claim that this entry no longer works under, if the store still holds it.
     */
    void release(String pool, long token, long nowMillis) {
        boolean due = nowMillis >= nextRenewalMillis.getOrDefault(pool, Long.MIN_VALUE);
        if (leaving || !due || !claimsInFlight.add(pool)) {
            return;
        }
        nextRenewalMillis.put(pool, nowMillis + RETRY_DELAY_MILLIS);
        String key = LiveEntries.ownerKey(pool);
        StorePort.Change change = new StorePort.Change(Map.of(key, token), List.of(), List.of(key));
        context.call(() -> context.store().commit(change), (revision, failure) -> {
            claimsInFlight.remove(pool);
            context.logDecision(Decision.of("claim-released")
                    .with("pool", pool)
                    .with("token", token)
                    .with("outcome", failure == null ? "released" : String.valueOf(failure.getMessage())));
        });
    }

    /**
     * Renews a claim that has lapsed, if no entry has claimed the pool since. Every claim writes the counter key, so an
     * unchanged counter key proves that.
     */
    void renewClaim(ClaimHolder holder, Moment now) {
        String pool = holder.pool();
        boolean due = now.steadyMillis() >= nextRenewalMillis.getOrDefault(pool, Long.MIN_VALUE);
        if (lease == 0 || leaving || !due || !claimsInFlight.add(pool)) {
            return;
        }
        nextRenewalMillis.put(pool, now.steadyMillis() + RETRY_DELAY_MILLIS);
        long callLease = lease;
        lastRenewalNumber++;
        Map<String, Long> expected =
                Map.of(LiveEntries.ownerKey(pool), 0L, PoolStore.counterKey(pool), holder.counterRevision());
        List<StorePort.Put> puts = claimPuts(pool, RenewalMarker.of(holder.firstToken(), lastRenewalNumber));
        context.call(
                () -> context.store().commit(new StorePort.Change(expected, puts, List.of())), (revision, failure) -> {
                    claimsInFlight.remove(pool);
                    if (!holder.isLapsed()) {
                        return;
                    }
                    if (failure == null) {
                        renewalAnswered(holder, revision, callLease, now);
                    } else if (failure instanceof StoreFailure storeFailure) {
                        renewalFailed(holder, storeFailure, callLease, now);
                    }
                });
    }

    private void renewalAnswered(ClaimHolder holder, long revision, long callLease, Moment requested) {
        // A claim under a lease that has ended meanwhile vanishes with it; the counter key has changed to its revision.
        holder.claimRenewed(revision, requested);
        if (lease != callLease) {
            holder.claimLapsed();
        }
    }

    private void renewalFailed(ClaimHolder holder, StoreFailure failure, long callLease, Moment requested) {
        if (failure.kind() == StoreFailure.Kind.LEASE_ENDED && lease == callLease) {
            handleLeaseEnd();
        } else if (failure.kind() == StoreFailure.Kind.CONFLICT) {
            resolveRenewalConflict(holder, failure, requested);
        }
    }

    /**
     * Handles a conflict. The claim has not lapsed if the owner's key has the holder's token; an earlier attempt without an answer has
     * taken effect if the counter key has its marker; and the holder's own last commit may have changed the counter key, whether its
     * answer was handled or not. Otherwise another entry has claimed the pool.
     */
    private void resolveRenewalConflict(ClaimHolder holder, StoreFailure failure, Moment requested) {
        Optional<StorePort.Item> owner = failure.currentItem(LiveEntries.ownerKey(holder.pool()));
        Optional<StorePort.Item> counter = failure.currentItem(PoolStore.counterKey(holder.pool()));
        boolean stands = owner.isPresent() && owner.get().revision() == holder.token();
        if (stands) {
            holder.claimRenewed(holder.token(), requested);
        } else if (counter.isPresent() && RenewalMarker.marks(counter.get(), holder.firstToken())) {
            holder.claimRenewed(counter.get().revision(), requested);
            if (owner.map(StorePort.Item::revision).orElse(0L) != counter.get().revision()) {
                holder.claimLapsed();
            }
        } else if (owner.isPresent() || counter.isEmpty() || !isWrittenBy(holder, counter.get())) {
            holder.claimLost("claimed-by-another");
        }
    }

    private static boolean isWrittenBy(ClaimHolder holder, StorePort.Item counter) {
        return counter.revision() == holder.counterRevision() || holder.isOwnCounter(counter);
    }

    /**
     * Receives the outcomes of claims.
     */
    interface Listener {
        /**
         * Handles that this entry has claimed a pool.
         *
         * @param token  the fencing token of the claim
         */
        void poolClaimed(String pool, long token);

        /**
         * Handles that the lease has ended, and with it all claims.
         */
        void allClaimsLapsed();

        /**
         * Handles that the store answers again after calls without an answer.
         */
        void storeReturned();

        /**
         * Handles that a lease was obtained, under which claims that have lapsed can be renewed.
         */
        void leaseObtained();
    }
}
