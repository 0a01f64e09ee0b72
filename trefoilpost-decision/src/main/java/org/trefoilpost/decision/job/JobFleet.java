package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Map;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.configuration.TeamQuota;

/**
 * The workers, the quotas and the tasks of the other shards, as one entry sees them.
 */
public final class JobFleet {
    private final Map<PoolName, List<JobWorker>> pools;
    private final Map<TeamName, TeamQuota> quotas;
    private final List<JobTask> otherTasks;

    private JobFleet(Map<PoolName, List<JobWorker>> pools, Map<TeamName, TeamQuota> quotas, List<JobTask> otherTasks) {
        this.pools = Map.copyOf(pools);
        this.quotas = Map.copyOf(quotas);
        this.otherTasks = List.copyOf(otherTasks);
    }

    /**
     * Obtains the value.
     *
     * @param pools  the workers of each pool, not null
     * @param quotas  the quotas of the teams, not null
     * @param otherTasks  the tasks that other shards' jobs hold, not null
     * @return the value, not null
     */
    public static JobFleet of(
            Map<PoolName, List<JobWorker>> pools, Map<TeamName, TeamQuota> quotas, List<JobTask> otherTasks) {
        return new JobFleet(pools, quotas, otherTasks);
    }

    /**
     * Returns the workers of each pool.
     *
     * @return the workers of each pool, not null
     */
    public Map<PoolName, List<JobWorker>> pools() {
        return pools;
    }

    /**
     * Returns the quotas of the teams.
     *
     * @return the quotas of the teams, not null
     */
    public Map<TeamName, TeamQuota> quotas() {
        return quotas;
    }

    /**
     * Returns the tasks that other shards' jobs hold.
     *
     * @return the tasks that other shards' jobs hold, not null
     */
    public List<JobTask> otherTasks() {
        return otherTasks;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobFleet " + pools + " " + quotas + " " + otherTasks;
    }
}
