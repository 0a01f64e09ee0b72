package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.trefoilpost.decision.job.RegisteredWorker;

/**
 * Formats in which no item can be read.
 */
class UnusedFormats implements PlatformFormats {
    @Override
    public String operatorPrefix() {
        return "op/";
    }

    @Override
    public String workerPrefix() {
        return "servers/";
    }

    @Override
    public Optional<JobConfiguration> configuration(StorePort.Item item) {
        return Optional.empty();
    }

    @Override
    public Optional<UpkeepWave> wave(StorePort.Item item) {
        return Optional.empty();
    }

    @Override
    public String waveKey(long wave) {
        return "op/wave/" + wave;
    }

    @Override
    public boolean isWaveKey(String key) {
        return key.startsWith("op/wave/");
    }

    @Override
    public Optional<RegisteredWorker> worker(StorePort.Item item) {
        return Optional.empty();
    }

    @Override
    public String waveStatusKey(long wave) {
        return "status/wave/" + wave;
    }

    @Override
    public byte[] waveStatus(long wave, boolean completed) {
        return Boolean.toString(completed).getBytes(StandardCharsets.UTF_8);
    }
}
