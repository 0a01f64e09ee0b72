package org.trefoilpost.entry.job;

/**
 * The ports through which the job service reaches the platform.
 *
 * @param store  the metadata store, not null
 * @param workers  the workers, not null
 * @param machines  the machines, not null
 * @param advice  the placement advice service, not null
 * @param formats  the formats of the platform's items in the store, not null
 */
public record JobPorts(
        StorePort store, WorkerPort workers, MachinePort machines, AdvicePort advice, PlatformFormats formats) {
    JobPorts withStore(StorePort other) {
        return new JobPorts(other, workers, machines, advice, formats);
    }
}
