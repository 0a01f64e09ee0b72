package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.PoolTimeouts;

/**
 * What an entry is told of itself at its start.
 *
 * @param name  the entry's name, not null
 * @param peerAddress  the address for other entries as {@code host:port}, not null
 * @param bounds  the times that bound decisions, not null
 * @param machineCallsPerSecond  the most orders about machines in a second, of all entries together
 * @param cpuMillis  the entry's processor share in thousandths of a core
 */
public record JobServiceSettings(
        String name, String peerAddress, PoolTimeouts timeouts, double maxMachineCallsPerSecond, long cpuMillis) {}
