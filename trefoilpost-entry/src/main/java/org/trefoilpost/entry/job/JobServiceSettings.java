package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.CapacityBound;
import org.trefoilpost.decision.job.ConfigurationBound;
import org.trefoilpost.decision.job.PoolTimeouts;
import org.trefoilpost.decision.job.team.TeamPolicy;

/**
 * The settings of an entry's job service.
 *
 * @param name  the entry's name, not null
 * @param peerAddress  the address at which other entries reach this entry, as {@code host:port}, not null
 * @param timeouts  the timeouts of the pools' schedulers, not null
 * @param maxMachineCallsPerSecond  the maximum rate of calls to the machine service, for all entries together
 * @param machineTokensCompared  true if the machine service rejects orders with a lower fencing token than an earlier one
 * @param cpuMillis  the entry's processor share in thousandths of a core
 * @param configurationBound  the time within which a configuration must be in force, not null
 * @param capacityBound  when a smaller capacity of a worker must be respected, not null
 * @param teamPolicy  what the deployment requires of its teams, not null
 */
public record JobServiceSettings(
        String name,
        String peerAddress,
        PoolTimeouts timeouts,
        double maxMachineCallsPerSecond,
        boolean machineTokensCompared,
        long cpuMillis,
        ConfigurationBound configurationBound,
        CapacityBound capacityBound,
        TeamPolicy teamPolicy) {}
