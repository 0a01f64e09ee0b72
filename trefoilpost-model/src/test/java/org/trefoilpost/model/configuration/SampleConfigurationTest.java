package org.trefoilpost.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.ToIntFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SampleConfigurationTest {
    private static final int WORKERS_PER_RACK = 4;

    @ParameterizedTest
    @CsvSource({"rafiq, 5, 40", "association, 5, 35"})
    void sample_hasTheExpectedNumberOfPoolsAndWorkers(String name, int pools, int workers) throws IOException {
        Configuration configuration =
                ConfigurationCodec.parse(Files.readString(Path.of("..", "samples", name + ".yaml")));
        ToIntFunction<PoolSettings> size = pool -> pool.initialWorkers().size()
                + WORKERS_PER_RACK * pool.initialRacks().size();
        assertEquals(pools, configuration.pools().size());
        assertEquals(
                workers, configuration.pools().values().stream().mapToInt(size).sum());
    }
}
