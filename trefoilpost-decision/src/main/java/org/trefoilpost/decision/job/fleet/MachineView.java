package org.trefoilpost.decision.job.fleet;

/**
 * What the platform says of a machine.
 *
 * @param name  the machine's name, not null
 * @param pool  the pool that the machine belongs to, not null
 * @param up  true if the machine is in service
 * @param inUpkeep  true if the machine is being maintained
 * @param worker  the identifier of the worker on the machine, without text if there is none, not null
 * @param cpuMillis  the machine's size in thousandths of a core
 */
public record MachineView(String name, String pool, boolean up, boolean inUpkeep, String worker, long cpuMillis) {}
