package org.trefoilpost.entry.job;

import java.util.Optional;
import org.trefoilpost.decision.job.RegisteredWorker;

/**
 * Reads and writes what the platform and its operators keep in the store.
 */
public interface PlatformFormats {
    /**
     * Returns what the keys of the operators' entries begin with.
     *
     * @return the prefix, not null
     */
    String operatorPrefix();

    /**
     * Returns what the keys of the workers' entries begin with.
     *
     * @return the prefix, not null
     */
    String workerPrefix();

    /**
     * Reads a configuration.
     *
     * @param item  an operators' entry, not null
     * @return the configuration, empty if the entry is none or cannot be read, not null
     */
    Optional<JobConfiguration> configuration(StorePort.Item item);

    /**
     * Reads a wave.
     *
     * @param item  an operators' entry, not null
     * @return the wave, empty if the entry is none or cannot be read, not null
     */
    Optional<UpkeepWave> wave(StorePort.Item item);

    /**
     * Reads a worker's entry.
     *
     * @param item  the entry, not null
     * @return the report, empty if the entry names no usable worker, not null
     */
    Optional<RegisteredWorker> worker(StorePort.Item item);

    /**
     * Returns the key under which operators look for the state of a wave.
     *
     * @param wave  the number of the wave
     * @return the key, not null
     */
    String waveStatusKey(long wave);

    /**
     * Writes the state of a wave for operators.
     *
     * @param wave  the number of the wave
     * @param completed  true if all its machines have been maintained
     * @return the bytes, not null
     */
    byte[] waveStatus(long wave, boolean completed);
}
