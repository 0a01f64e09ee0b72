package org.trefoilpost.entry.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.trefoilpost.decision.admission.AdmissionQueue;
import org.trefoilpost.decision.admission.AdmissionSettings;
import org.trefoilpost.decision.admission.TeamQuotas;
import org.trefoilpost.decision.dispatch.PoolDispatcher;
import org.trefoilpost.decision.retry.RetryBudget;
import org.trefoilpost.decision.routing.ConnectionLimitPolicy;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.decision.routing.RouterSettings;
import org.trefoilpost.decision.routing.SelectionPolicy;
import org.trefoilpost.decision.routing.TwoChoicesPolicy;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.PoolSettings;

/**
 * The pools of the current configuration, and removed pools that still have pending requests.
 *
 * <p>Not thread-safe: confined to the thread of the request service.
 */
final class PoolSet {
    private static final long PEER_COUNT_MAX_AGE_MILLIS = 3_000;

    private final DataCentreName ownDataCentre;
    private final RandomGenerator random = RandomGenerator.getDefault();
    private final TeamQuotas teamQuotas = TeamQuotas.of(PEER_COUNT_MAX_AGE_MILLIS);
    private final Map<PoolName, Pool> pools = new TreeMap<>();
    private Set<TeamName> teams = Set.of();
    private LeavingRegister leavingWorkers = LeavingRegister.empty();

    PoolSet(DataCentreName ownDataCentre) {
        this.ownDataCentre = ownDataCentre;
    }

    /**
     * Returns all pools, including removed ones with pending requests.
     *
     * @return the pools, ordered by name, not null
     */
    Collection<Pool> all() {
        return pools.values();
    }

    /**
     * Finds a pool of the current configuration.
     *
     * @param name  the pool's name, not null
     * @return the pool, empty if the configuration does not have it, not null
     */
    Optional<Pool> findConfigured(PoolName name) {
        return Optional.ofNullable(pools.get(name)).filter(pool -> !pool.isRemoved());
    }

    /**
     * Applies a configuration: adds and updates its pools, marks all others as removed, and sets the teams' quotas.
     *
     * @param configuration  the configuration, not null
     */
    void configure(Configuration configuration) {
        for (PoolSettings settings : configuration.pools().values()) {
            addOrUpdate(settings);
        }
        for (Pool pool : pools.values()) {
            if (configuration.pool(pool.name()).isEmpty()) {
                pool.markRemoved();
            }
        }
        Map<TeamName, Integer> limits = new HashMap<>();
        configuration.teams().forEach((team, quota) -> limits.put(team, quota.concurrentRequests()));
        teamQuotas.quotas(limits);
        teams = Set.copyOf(limits.keySet());
    }

    /**
     * Merges a register of leaving workers into that of every pool, present and future.
     *
     * @param register  the leaving workers to add, not null
     */
    void mergeLeaving(LeavingRegister register) {
        leavingWorkers = leavingWorkers.merge(register);
        pools.values().forEach(pool -> pool.dispatcher().mergeLeaving(register));
    }

    /**
     * Records the requests that a peer reported for each team, which count towards the teams' quotas.
     *
     * @param entry  the peer, not null
     * @param teams  the number of requests by team, not null
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void recordPeerTeamRequests(EntryId entry, Map<TeamName, Integer> teams, long nowMillis) {
        teams.forEach((team, requests) -> teamQuotas.peerRequests(entry, team, requests, nowMillis));
    }

    /**
     * Returns a snapshot of the current load.
     *
     * @param attempts  the pool and the worker of each attempt in flight, not null
     * @return the snapshot, not null
     */
    LoadSnapshot loads(List<Map.Entry<PoolName, WorkerId>> attempts) {
        Map<PoolName, Map<WorkerId, Integer>> inFlight = new HashMap<>();
        attempts.forEach(attempt -> inFlight.computeIfAbsent(attempt.getKey(), pool -> new HashMap<>())
                .merge(attempt.getValue(), 1, Integer::sum));
        Map<PoolName, Integer> queued = new HashMap<>();
        pools.values()
                .forEach(pool ->
                        queued.put(pool.name(), pool.dispatcher().admission().queued()));
        Map<TeamName, Integer> own = new HashMap<>();
        teams.forEach(team -> own.put(team, teamQuotas.ownRequests(team)));
        return LoadSnapshot.of(inFlight, queued, own);
    }

    /**
     * Returns the time of the earliest tick that is due in a pool.
     *
     * @return the time in milliseconds, the largest long if no tick is due
     */
    long nextTickMillis() {
        long next = Long.MAX_VALUE;
        for (Pool pool : pools.values()) {
            OptionalLong tick = pool.dispatcher().nextTickMillis();
            next = tick.isPresent() ? Math.min(next, tick.getAsLong()) : next;
        }
        return next;
    }

    /**
     * Returns the workers that the pools' routers ejected because of their failures.
     *
     * @return the identifiers of the ejected workers, not null
     */
    Set<WorkerId> ejectedWorkers() {
        Set<WorkerId> ejected = new HashSet<>();
        pools.values().forEach(pool -> ejected.addAll(pool.ejectedWorkers()));
        return ejected;
    }

    /**
     * Returns the number of workers that the pools' routers ejected because of their failures.
     *
     * @return the number, not negative
     */
    int ejectedCount() {
        int count = 0;
        for (Pool pool : pools.values()) {
            count += pool.dispatcher().router().ejectedWorkers();
        }
        return count;
    }

    /**
     * Drops removed pools without pending requests.
     */
    void removeDrained() {
        pools.values().removeIf(pool -> pool.isRemoved() && pool.dispatcher().pendingRequests() == 0);
    }

    private void addOrUpdate(PoolSettings settings) {
        Pool pool = pools.get(settings.name());
        if (pool == null) {
            pools.put(settings.name(), new Pool(settings, dispatcher(settings)));
        } else if (!pool.settings().equals(settings) || pool.isRemoved()) {
            pool.settings(settings);
            pool.dispatcher().retryBudget(retryBudget(settings));
            pool.dispatcher().admission().settings(admissionSettings(settings));
        }
    }

    private PoolDispatcher dispatcher(PoolSettings settings) {
        PoolName name = settings.name();
        SelectionPolicy policy = ConnectionLimitPolicy.of(
                new TwoChoicesPolicy(),
                () -> Optional.ofNullable(pools.get(name))
                        .map(Pool::settings)
                        .orElse(settings)
                        .connectionsPerEntry());
        PoolRouter router = PoolRouter.of(RouterSettings.defaults(), policy, random);
        router.mergeLeaving(leavingWorkers);
        return PoolDispatcher.builder()
                .ownDataCentre(ownDataCentre)
                .router(router)
                .admission(AdmissionQueue.of(admissionSettings(settings), teamQuotas, random))
                .retryBudget(retryBudget(settings))
                .random(random)
                .build();
    }

    private static AdmissionSettings admissionSettings(PoolSettings settings) {
        return AdmissionSettings.builder()
                .maxQueued(settings.queueLimit())
                .bulkShare(settings.bulkShare())
                .build();
    }

    private static RetryBudget retryBudget(PoolSettings settings) {
        return RetryBudget.of(settings.retryShare(), RetryBudget.DEFAULT_BURST);
    }
}
