package org.trefoilpost.decision.job.fleet;

/**
 * The state of a machine as the platform reports it.
 *
 * @param name  the machine's name, not null
 * @param pool  the name of the pool that the machine belongs to, not null
 * @param up  true if the machine is in service
 * @param inUpkeep  true if the machine is under upkeep
 * @param worker  the identifier of the worker on the machine, empty if there is none, not null
 * @param cpuMillis  the machine's processor capacity in thousandths of a core
 */
public record MachineView(String name, String pool, boolean up, boolean inUpkeep, String worker, long cpuMillis) {}
