package org.trefoilpost.entry.job;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.team.UseAndGrant;

/**
 * Gauges of what teams use and hold in the pools of this entry.
 */
final class TeamGauges {
    /** The maximum number of teams with gauges of their own, so that the number of series is bounded. */
    private static final int MAX_NAMED_TEAMS = 100;

    private static final String OTHER_TEAMS = "other teams";

    private final MeterRegistry registry;
    /** The values by team and pool. */
    private final Map<String, Map<String, UseAndGrant>> values = new ConcurrentHashMap<>();

    TeamGauges(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Sets the values of a pool. Used on the service's thread only.
     */
    void update(String pool, Map<String, UseAndGrant> teams) {
        remove(pool);
        teams.forEach((team, value) -> values(team).merge(pool, value, TeamGauges::sum));
    }

    /**
     * Removes the values of a pool that this entry no longer owns.
     */
    void remove(String pool) {
        values.values().forEach(pools -> pools.remove(pool));
    }

    private Map<String, UseAndGrant> values(String team) {
        String name = values.containsKey(team) || values.size() < MAX_NAMED_TEAMS ? team : OTHER_TEAMS;
        Map<String, UseAndGrant> known = values.get(name);
        if (known != null) {
            return known;
        }
        Map<String, UseAndGrant> created = new ConcurrentHashMap<>();
        values.put(name, created);
        register("trefoilpost.jobs.team.use", name, created, UseAndGrant::use);
        register("trefoilpost.jobs.team.grant", name, created, UseAndGrant::grant);
        return created;
    }

    private void register(
            String gauge, String team, Map<String, UseAndGrant> pools, Function<UseAndGrant, ResourceAmount> amount) {
        register(gauge, team, "cpu", pools, value -> amount.apply(value).cpuMillis());
        register(gauge, team, "memory", pools, value -> amount.apply(value).memoryMb());
        register(
                gauge, team, "accelerators", pools, value -> amount.apply(value).accelerators());
    }

    private void register(
            String gauge,
            String team,
            String resource,
            Map<String, UseAndGrant> pools,
            ToLongFunction<UseAndGrant> component) {
        Gauge.builder(
                        gauge,
                        pools,
                        all -> all.values().stream().mapToLong(component).sum())
                .tag("team", team)
                .tag("resource", resource)
                .strongReference(true)
                .register(registry);
    }

    private static UseAndGrant sum(UseAndGrant a, UseAndGrant b) {
        return new UseAndGrant(a.use().plus(b.use()), a.grant().plus(b.grant()));
    }
}
