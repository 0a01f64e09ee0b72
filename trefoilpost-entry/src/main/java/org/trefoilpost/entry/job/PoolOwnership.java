package org.trefoilpost.entry.job;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.Decision;

/**
 * Registers this entry and claims pools without an owner. All keys hang on one lease of the store.
 */
final class PoolOwnership {
    private static final long LEASE_TTL_MILLIS = 2_000;
    private static final long RENEWAL_INTERVAL_MILLIS = 600;
    private static final long RETRY_DELAY_MILLIS = 200;
    /** Time in milliseconds between the claims of entries of different rank. */
    private static final long RANK_DELAY_MILLIS = 250;

    private static final long FIRST_CLAIM_DELAY_MILLIS = 500;

    private final JobContext context;
    private final LiveEntries liveEntries;
    private final Listener listener;
    private final LiveEntries.Peer self;
    private final Set<String> claimsInFlight = new HashSet<>();
    private long lease;
    private boolean leaseCallInFlight;
    private boolean registered;
    private long nextLeaseCallMillis;
    private long registeredAtMillis;
    private boolean leaving;

    PoolOwnership(JobContext context, LiveEntries live, String incarnation, Listener listener) {
        this.context = context;
        this.liveEntries = live;
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
     * Does what is due.
     */
    void tick(Set<String> pools, long nowMillis) {
        if (lease == 0) {
            obtainLease(nowMillis);
        } else if (nowMillis >= nextLeaseCallMillis) {
            renewLease(nowMillis);
        }
        if (registered && !leaving && nowMillis - registeredAtMillis >= FIRST_CLAIM_DELAY_MILLIS) {
            Map<String, List<String>> ranking = OwnerRanking.of(pools, liveEntries);
            pools.forEach(pool -> claimIfDue(pool, ranking, nowMillis));
        }
    }

    /**
     * Gives up all keys at once, so that other entries take the pools over without waiting.
     */
    void leave(Runnable done) {
        leaving = true;
        long ending = lease;
        lease = 0;
        nextLeaseCallMillis = Long.MAX_VALUE;
        leaseCallInFlight = true;
        if (ending == 0) {
            done.run();
        } else {
            context.onServiceThread(context.store().endLease(ending), (value, failure) -> done.run());
        }
    }

    private void obtainLease(long nowMillis) {
        if (leaseCallInFlight || nowMillis < nextLeaseCallMillis) {
            return;
        }
        leaseCallInFlight = true;
        context.onServiceThread(context.store().grantLease(LEASE_TTL_MILLIS), (granted, failure) -> {
            leaseCallInFlight = leaving;
            nextLeaseCallMillis = nowMillis + RETRY_DELAY_MILLIS;
            if (failure == null && !leaving) {
                lease = granted;
                nextLeaseCallMillis = nowMillis + RENEWAL_INTERVAL_MILLIS;
                register();
            }
        });
    }

    private void register() {
        long current = lease;
        StorePort.Put put = new StorePort.Put(LiveEntries.entryKey(self.name()), LiveEntries.encode(self), current);
        context.onServiceThread(
                context.store().commit(new StorePort.Change(Map.of(), List.of(put), List.of())),
                (revision, failure) -> {
                    if (failure == null && lease == current) {
                        registered = true;
                        registeredAtMillis = context.now().steadyMillis();
                        context.logDecision(Decision.of("entry-registered").with("lease", current));
                    } else if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.LEASE_ENDED) {
                        handleLeaseEnd();
                    } else if (lease == current) {
                        context.schedule(RETRY_DELAY_MILLIS, this::register);
                    }
                });
    }

    private void renewLease(long nowMillis) {
        if (leaseCallInFlight) {
            return;
        }
        leaseCallInFlight = true;
        long current = lease;
        context.onServiceThread(context.store().renewLease(current), (stood, failure) -> {
            leaseCallInFlight = leaving;
            nextLeaseCallMillis = nowMillis + (failure == null ? RENEWAL_INTERVAL_MILLIS : RETRY_DELAY_MILLIS);
            if (failure == null && !stood && lease == current) {
                handleLeaseEnd();
            }
        });
    }

    private void handleLeaseEnd() {
        context.logDecision(Decision.failure("entry-lease-ended").with("lease", lease));
        lease = 0;
        registered = false;
        nextLeaseCallMillis = 0;
        listener.allClaimsLost();
    }

    private void claimIfDue(String pool, Map<String, List<String>> ranking, long nowMillis) {
        Optional<LiveEntries.Owner> owner = liveEntries.owner(pool);
        if (owner.isPresent() || claimsInFlight.contains(pool)) {
            return;
        }
        long since = liveEntries.ownerlessSinceMillis(pool, nowMillis);
        int rank = ranking.getOrDefault(pool, List.of()).indexOf(self.name());
        if (rank >= 0 && nowMillis - since >= rank * RANK_DELAY_MILLIS) {
            claim(pool);
        }
    }

    private void claim(String pool) {
        claimsInFlight.add(pool);
        long current = lease;
        String key = LiveEntries.ownerKey(pool);
        StorePort.Put put = new StorePort.Put(key, LiveEntries.encode(self), current);
        context.onServiceThread(
                context.store().commit(new StorePort.Change(Map.of(key, 0L), List.of(put), List.of())),
                (revision, failure) -> {
                    claimsInFlight.remove(pool);
                    if (failure == null && lease == current) {
                        listener.poolClaimed(pool, revision);
                    } else if (failure instanceof StoreFailure known
                            && known.kind() == StoreFailure.Kind.LEASE_ENDED
                            && lease == current) {
                        handleLeaseEnd();
                    } else if (failure != null) {
                        context.logDecision(Decision.of("claim-failed")
                                .with("pool", pool)
                                .with("failure", String.valueOf(failure.getMessage())));
                    }
                });
    }

    /**
     * Is told what became of the keys.
     */
    interface Listener {
        /**
         * Is told that this entry owns a pool.
         */
        void poolClaimed(String pool, long token);

        /**
         * Is told that the lease has ended, and all keys with it.
         */
        void allClaimsLost();
    }
}
