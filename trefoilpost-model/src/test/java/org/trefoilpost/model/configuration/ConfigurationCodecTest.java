package org.trefoilpost.model.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

class ConfigurationCodecTest {
    private static final String WEIGHTS = "weights: {bufferCost: 3, rollOutTime: 1, moves: 0.5}\n";
    private static final String VALID = """
            pools:
              pricing:
                budget: {floor: 5, reserve: rack}
                initialRacks: [r1, r2]
                standingConsent: {movesPerDay: 2, lendingPools: [back-office]}
              back-office:
                budget:
                  floor: 1
                  reserve: none
                initialWorkers: [w9]
                timeoutMillis: 2500
            teams:
              dock: {concurrentRequests: 20, cores: 64, accelerators: 0}
            """ + WEIGHTS;

    private static List<String> faultsOf(String text) {
        ConfigurationException thrown =
                assertThrows(ConfigurationException.class, () -> ConfigurationCodec.parse(text));
        return thrown.faults().stream()
                .map(fault -> fault.path() + "=" + fault.value())
                .collect(Collectors.toList());
    }

    @Test
    void parse_absentFields_haveTheirDefaults() {
        Configuration configuration = ConfigurationCodec.parse(VALID);
        PoolSettings pricing = configuration.pool(PoolName.of("pricing")).orElseThrow();
        assertEquals(Duration.ofSeconds(10), pricing.timeout());
        assertEquals(
                List.of(1_048_576, 256, 8, 7),
                List.of(
                        pricing.maxBodyBytes(),
                        pricing.queueLimit(),
                        pricing.slotsPerWorker(),
                        pricing.connectionsPerEntry()));
        assertEquals(PlanMeasureWeights.of(3, 1, 0.5), configuration.weights());
        assertEquals(
                Duration.ofMillis(2500),
                configuration.pool(PoolName.of("back-office")).orElseThrow().timeout());
    }

    @Test
    void write_thenParse_givesTheSameConfigurationAndText() {
        Configuration configuration = ConfigurationCodec.parse(VALID).withVersion(12);
        String json = ConfigurationCodec.write(configuration);
        assertEquals(configuration, ConfigurationCodec.parse(json));
        assertEquals(json, ConfigurationCodec.write(ConfigurationCodec.parse(json)));
    }

    @Test
    void writePart_thenParsePart_buildsTheSameConfiguration() {
        Configuration configuration = ConfigurationCodec.parse(VALID);
        Configuration.Builder builder = Configuration.builder();
        for (ConfigurationPart part : configuration.parts()) {
            ConfigurationCodec.parsePart(part, ConfigurationCodec.writePart(configuration, part), builder);
            assertEquals(part, ConfigurationPart.parse(part.path()));
        }
        assertEquals(configuration, builder.build());
    }

    @Test
    void parsePart_newerFormat_throwsNewerFormatException() {
        NewerFormatException thrown = assertThrows(
                NewerFormatException.class,
                () -> ConfigurationCodec.parsePart(
                        ConfigurationPart.TEAMS, "{\"format\":2,\"settings\":[]}", Configuration.builder()));
        assertEquals(2, thrown.format());
    }

    @Test
    void parse_manyFaults_reportsAllAtOnce() {
        List<String> faults = faultsOf("""
                version: -1
                pools:
                  Pricing: {budget: {floor: 1, reserve: none}}
                  a:
                    budget: {floor: -2, reserve: hall, spare: 1}
                    initialRacks: [r1, r1, 7]
                    queueLimit: many
                    retryShare: 1.5
                    standingConsent: {movesPerDay: 1, lendingPools: [a, ghost]}
                  b:
                    budget: {reserve: worker}
                    initialRacks: [r1]
                    initialWorkers: [w1]
                  c:
                    budget: {floor: 2, reserve: worker}
                    initialWorkers: [w1, w2]
                  d: 4
                teams:
                  dock: {concurrentRequests: -1, cores: 1.5}
                colour: red
                """);
        assertEquals(
                List.of(
                        "version=-1",
                        "pools.Pricing=Pricing",
                        "pools.a.budget.floor=-2",
                        "pools.a.budget.reserve=\"hall\"",
                        "pools.a.budget.spare=1",
                        "pools.a.initialRacks[1]=r1",
                        "pools.a.initialRacks[2]=7",
                        "pools.a.queueLimit=\"many\"",
                        "pools.a.retryShare=1.5",
                        "pools.b.budget.floor=missing",
                        "pools.d=4",
                        "pools.d.budget=missing",
                        "pools.d.budget.floor=missing",
                        "pools.d.budget.reserve=missing",
                        "teams.dock.concurrentRequests=-1",
                        "teams.dock.cores=1.5",
                        "teams.dock.accelerators=missing",
                        "weights=missing",
                        "weights.bufferCost=missing",
                        "weights.rollOutTime=missing",
                        "weights.moves=missing",
                        "colour=\"red\"",
                        "pools.a.standingConsent.lendingPools=a",
                        "pools.a.standingConsent.lendingPools=ghost",
                        "pools.b.initialRacks=r1",
                        "pools.c.initialWorkers=w1",
                        "pools.c.budget.floor=2"),
                faults);
    }

    @ParameterizedTest
    @CsvSource({"none,3,true", "none,4,false", "rack,2,true", "worker,3,false", "data-centre,0,true"})
    void parse_floor_isCheckedAgainstTheListedWorkersLessTheReserve(String reserve, int floor, boolean valid) {
        String text = "pools: {a: {budget: {floor: " + floor + ", reserve: " + reserve
                + "}, initialWorkers: [w1, w2, w3]}}\n" + WEIGHTS;
        if (valid) {
            assertEquals(1, ConfigurationCodec.parse(text).pools().size());
        } else {
            assertEquals(List.of("pools.a.budget.floor=" + floor), faultsOf(text));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'pools: {a: [}'|'line 1, column '",
                "'weights: 1\nweights: 2'|'line 2, column '",
                "'{\"pools\":{},\n\"pools\":{}}'|'line 2, column '",
                "'{\"pools\":'|'line 1, column '",
                "'a: 1\n---\nb: 2'|'line '"
            })
    void parse_syntaxErrorOrDuplicateKey_reportsLineAndColumn(String text, String place) {
        List<String> faults = faultsOf(text);
        assertEquals(1, faults.size());
        assertTrue(faults.get(0).startsWith("=" + place), faults.get(0));
    }

    @Test
    void parse_hugeOrEmptyOrNestedDocument_isRefused() {
        String huge = VALID + "#" + "x".repeat(ConfigurationCodec.MAX_DOCUMENT_BYTES);
        assertEquals(List.of("=" + huge.length() + " bytes"), faultsOf(huge));
        assertTrue(faultsOf("").contains("pools=missing"));
        assertTrue(faultsOf("pools: " + "[".repeat(10_000)).size() > 0);
        assertTrue(faultsOf("{\"pools\":" + "[".repeat(10_000)).size() > 0);
    }

    @Test
    void initialPool_listedWorker_takesPrecedenceOverItsRack() {
        Configuration configuration = ConfigurationCodec.parse(VALID);
        assertEquals(
                Optional.of(PoolName.of("back-office")),
                configuration.initialPool(WorkerId.of("w9"), RackName.of("r1")));
        assertEquals(
                Optional.of(PoolName.of("pricing")), configuration.initialPool(WorkerId.of("w1"), RackName.of("r2")));
        assertEquals(Optional.empty(), configuration.initialPool(WorkerId.of("w1"), RackName.of("r3")));
    }
}
