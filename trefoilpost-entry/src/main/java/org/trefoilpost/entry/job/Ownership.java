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
final class Ownership {
    private static final long LEASE_MILLIS = 2_000;
    private static final long RENEW_MILLIS = 600;
    private static final long RETRY_MILLIS = 200;
    /** Time in milliseconds between the claims of entries of different rank. */
    private static final long RANK_DELAY_MILLIS = 250;

    private static final long FIRST_CLAIM_MILLIS = 500;

    private final JobContext context;
    private final LiveEntries live;
    private final Listener listener;
    private final LiveEntries.Peer self;
    private final Set<String> claiming = new HashSet<>();
    private long lease;
    private boolean leaseCallInFlight;
    private boolean registered;
    private long nextRenewalMillis;
    private long registeredMillis;
    private boolean leaving;

    Ownership(JobContext context, LiveEntries live, String incarnation, Listener listener) {
        this.context = context;
        this.live = live;
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
        } else if (nowMillis >= nextRenewalMillis) {
            renew(nowMillis);
        }
        if (registered && !leaving && nowMillis - registeredMillis >= FIRST_CLAIM_MILLIS) {
            Map<String, List<String>> ranking = OwnerRanking.of(pools, live);
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
        nextRenewalMillis = Long.MAX_VALUE;
        leaseCallInFlight = true;
        if (ending == 0) {
            done.run();
        } else {
            context.onDuty(context.store().endLease(ending), (value, failure) -> done.run());
        }
    }

    private void obtainLease(long nowMillis) {
        if (leaseCallInFlight || nowMillis < nextRenewalMillis) {
            return;
        }
        leaseCallInFlight = true;
        context.onDuty(context.store().grantLease(LEASE_MILLIS), (granted, failure) -> {
            leaseCallInFlight = leaving;
            nextRenewalMillis = nowMillis + RETRY_MILLIS;
            if (failure == null && !leaving) {
                lease = granted;
                nextRenewalMillis = nowMillis + RENEW_MILLIS;
                register();
            }
        });
    }

    private void register() {
        long current = lease;
        StorePort.Put put = new StorePort.Put(LiveEntries.nodeKey(self.name()), LiveEntries.value(self), current);
        context.onDuty(
                context.store().commit(new StorePort.Change(Map.of(), List.of(put), List.of())),
                (revision, failure) -> {
                    if (failure == null && lease == current) {
                        registered = true;
                        registeredMillis = context.now().steadyMillis();
                        context.decided(Decision.of("entry-registered").with("lease", current));
                    } else if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.LEASE_ENDED) {
                        leaseEnded();
                    } else if (lease == current) {
                        context.later(RETRY_MILLIS, this::register);
                    }
                });
    }

    private void renew(long nowMillis) {
        if (leaseCallInFlight) {
            return;
        }
        leaseCallInFlight = true;
        long current = lease;
        context.onDuty(context.store().renewLease(current), (stood, failure) -> {
            leaseCallInFlight = leaving;
            nextRenewalMillis = nowMillis + (failure == null ? RENEW_MILLIS : RETRY_MILLIS);
            if (failure == null && !stood && lease == current) {
                leaseEnded();
            }
        });
    }

    private void leaseEnded() {
        context.decided(Decision.failure("entry-lease-ended").with("lease", lease));
        lease = 0;
        registered = false;
        nextRenewalMillis = 0;
        listener.allLost();
    }

    private void claimIfDue(String pool, Map<String, List<String>> ranking, long nowMillis) {
        Optional<LiveEntries.Owner> owner = live.owner(pool);
        if (owner.isPresent() || claiming.contains(pool)) {
            return;
        }
        long since = live.absentSinceMillis(pool, nowMillis);
        int rank = ranking.getOrDefault(pool, List.of()).indexOf(self.name());
        if (rank >= 0 && nowMillis - since >= rank * RANK_DELAY_MILLIS) {
            claim(pool);
        }
    }

    private void claim(String pool) {
        claiming.add(pool);
        long current = lease;
        String key = LiveEntries.ownerKey(pool);
        StorePort.Put put = new StorePort.Put(key, LiveEntries.value(self), current);
        context.onDuty(
                context.store().commit(new StorePort.Change(Map.of(key, 0L), List.of(put), List.of())),
                (revision, failure) -> {
                    claiming.remove(pool);
                    if (failure == null && lease == current) {
                        listener.claimed(pool, revision);
                    } else if (failure instanceof StoreFailure known
                            && known.kind() == StoreFailure.Kind.LEASE_ENDED
                            && lease == current) {
                        leaseEnded();
                    } else if (failure != null) {
                        context.decided(Decision.of("claim-failed")
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
        void claimed(String pool, long token);

        /**
         * Is told that the lease has ended, and all keys with it.
         */
        void allLost();
    }
}
