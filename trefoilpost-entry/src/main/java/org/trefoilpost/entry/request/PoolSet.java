package org.trefoilpost.entry.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * The pools of the configuration in force, and those removed that still have requests under way.
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
     * Returns every pool, also those removed.
     *
     * @return the pools, not null
     */
    Collection<Pool> all() {
        return pools.values();
    }

    /**
     * Finds a pool of the configuration in force.
     *
     * @param name  the name, not null
     * @return the pool, empty if the configuration does not have it, not null
     */
    Optional<Pool> findConfigured(PoolName name) {
        return Optional.ofNullable(pools.get(name)).filter(pool -> !pool.isRemoved());
    }

    /**
     * Puts a configuration in force.
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
     * Merges a register of leaving workers into every pool's.
     *
     * @param register  the register, not null
     */
    void mergeLeaving(LeavingRegister register) {
        leavingWorkers = leavingWorkers.merge(register);
        pools.values().forEach(pool -> pool.dispatcher().mergeLeaving(register));
    }

    /**
     * Takes in what a peer told of the teams' requests.
     *
     * @param entry  the peer, not null
     * @param teams  the requests of each team, not null
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void recordPeerTeamRequests(EntryId entry, Map<TeamName, Integer> teams, long nowMillis) {
        teams.forEach((team, requests) -> teamQuotas.peerRequests(entry, team, requests, nowMillis));
    }

    /**
     * Returns the present load.
     *
     * @param attempts  the pool and the worker of each attempt in flight, not null
     * @return the load, not null
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
     * Forgets removed pools without requests under way.
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
