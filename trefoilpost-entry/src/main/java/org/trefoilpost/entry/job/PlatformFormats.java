package org.trefoilpost.entry.job;

import java.util.Optional;
import org.trefoilpost.decision.job.RegisteredWorker;

/**
 * Reads and writes the items that the platform and its operators keep in the store.
 */
public interface PlatformFormats {
    /**
     * Returns the prefix of the keys of the operators' items.
     *
     * @return the prefix, not null
     */
    String operatorPrefix();

    /**
     * Returns the prefix of the keys of the worker registry.
     *
     * @return the prefix, not null
     */
    String workerPrefix();

    /**
     * Reads a configuration.
     *
     * @param item  an item that operators have written, not null
     * @return the configuration, empty if the item is not a configuration or cannot be decoded, not null
     */
    Optional<JobConfiguration> configuration(StorePort.Item item);

    /**
     * Reads a wave.
     *
     * @param item  an item that operators have written, not null
     * @return the wave, empty if the item is not a wave or cannot be decoded, not null
     */
    Optional<UpkeepWave> wave(StorePort.Item item);

    /**
     * Returns the key under which operators request a wave.
     *
     * @param wave  the number of the wave
     * @return the key, not null
     */
    String waveKey(long wave);

    /**
     * Returns whether operators request waves under a key, whatever the item under it contains.
     *
     * @param key  the key, not null
     * @return true if the key is that of a wave
     */
    boolean isWaveKey(String key);

    /**
     * Reads a worker from its item in the registry.
     *
     * @param item  the item, not null
     * @return the worker, empty if the item cannot be decoded or does not describe a usable worker, not null
     */
    Optional<RegisteredWorker> worker(StorePort.Item item);

    /**
     * Returns the key under which operators read the status of a wave.
     *
     * @param wave  the number of the wave
     * @return the key, not null
     */
    String waveStatusKey(long wave);

    /**
     * Encodes the status of a wave for operators.
     *
     * @param wave  the number of the wave
     * @param completed  true if all its machines have been maintained
     * @return the encoded status, not null
     */
    byte[] waveStatus(long wave, boolean completed);
}
