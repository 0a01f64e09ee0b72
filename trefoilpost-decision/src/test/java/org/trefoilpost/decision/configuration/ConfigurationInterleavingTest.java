package org.trefoilpost.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.trefoilpost.model.configuration.Configuration;

class ConfigurationInterleavingTest {
    private static final int ENTRIES = 3;
    private static final int STEPS = 1_500;

    @Property(seed = "20261203", tries = 300)
    void anyInterleaving_acceptedChangesComeIntoForceEverywhere(@ForAll long seed) {
        ConfigurationSimulation simulation = new ConfigurationSimulation(seed, ENTRIES);
        simulation.run(STEPS, false);
        simulation.settle();
        assertVersionsOnlyGrow(simulation);
        assertContentIsThatOfTheChange(simulation);
        assertRefusedNeverInForce(simulation);
        assertAcceptedInForce(simulation);
        assertOneWinnerPerExpectedVersion(simulation);
        assertAllFollowTheStore(simulation);
        assertStoreHoldsAllParts(simulation);
    }

    @Property(seed = "20261204", tries = 300)
    void anyInterleavingWithRestores_versionsOnlyGrowAndTheNextChangeReachesAllEntries(@ForAll long seed) {
        ConfigurationSimulation simulation = new ConfigurationSimulation(seed, ENTRIES);
        simulation.run(STEPS, true);
        simulation.settle();
        SimulatedEntry highest = simulation.entries.stream()
                .max(Comparator.comparingLong(SimulatedEntry::version))
                .orElseThrow();
        ChangeId last = simulation.request(highest, false);
        simulation.entries.add(new SimulatedEntry());
        simulation.settle();
        assertEquals(ChangeOutcome.Kind.ACCEPTED, highest.lastOutcome(last).kind());
        assertVersionsOnlyGrow(simulation);
        assertContentIsThatOfTheChange(simulation);
        assertAllFollowTheStore(simulation);
        assertEquals(
                simulation.requestedConfigurations.get(last),
                highest.configuration().withVersion(0));
    }

    private static void assertVersionsOnlyGrow(ConfigurationSimulation simulation) {
        for (SimulatedEntry entry : simulation.entries) {
            long previous = 0;
            for (ConfigurationSnapshot snapshot : entry.published) {
                assertTrue(snapshot.version().number() > previous, () -> "went back to " + snapshot.version());
                previous = snapshot.version().number();
            }
        }
    }

    private static void assertContentIsThatOfTheChange(ConfigurationSimulation simulation) {
        for (SimulatedEntry entry : simulation.entries) {
            for (ConfigurationSnapshot snapshot : entry.published) {
                Configuration requested = simulation.requestedConfigurations.get(
                        snapshot.version().change());
                assertEquals(requested, snapshot.configuration().withVersion(0));
            }
        }
    }

    private static void assertRefusedNeverInForce(ConfigurationSimulation simulation) {
        Set<ChangeId> everInForce = simulation.entries.stream()
                .flatMap(entry -> entry.published.stream())
                .map(snapshot -> snapshot.version().change())
                .collect(Collectors.toSet());
        Set<ChangeId> refused = new HashSet<>();
        for (SimulatedEntry entry : simulation.entries) {
            entry.outcomes.forEach((change, outcomes) -> outcomes.stream()
                    .filter(outcome -> outcome.kind() == ChangeOutcome.Kind.REFUSED)
                    .forEach(outcome -> refused.add(change)));
        }
        refused.retainAll(everInForce);
        assertEquals(Set.of(), refused);
    }

    private static void assertAcceptedInForce(ConfigurationSimulation simulation) {
        for (SimulatedEntry entry : simulation.entries) {
            for (List<ChangeOutcome> outcomes : entry.outcomes.values()) {
                ChangeOutcome last = outcomes.get(outcomes.size() - 1);
                if (last.kind() == ChangeOutcome.Kind.ACCEPTED) {
                    simulation.entries.forEach(other -> assertTrue(other.version() >= last.version()));
                }
            }
        }
        int answered = simulation.entries.stream()
                .mapToInt(entry -> entry.outcomes.size())
                .sum();
        assertEquals(simulation.requestedConfigurations.size(), answered);
    }

    private static void assertOneWinnerPerExpectedVersion(ConfigurationSimulation simulation) {
        Map<Long, ChangeId> winners = new TreeMap<>();
        for (SimulatedEntry entry : simulation.entries) {
            entry.outcomes.forEach((change, outcomes) -> {
                ChangeOutcome last = outcomes.get(outcomes.size() - 1);
                Long expected = simulation.expectedVersions.get(change);
                boolean wrote = expected != null && last.version() > expected;
                if (wrote && last.kind() == ChangeOutcome.Kind.ACCEPTED) {
                    assertEquals(null, winners.put(expected, change));
                    assertEquals(expected + 1, last.version());
                }
            });
        }
    }

    private static void assertAllFollowTheStore(ConfigurationSimulation simulation) {
        ConfigurationHead head = simulation.store.head();
        for (SimulatedEntry entry : simulation.entries) {
            assertEquals(head.version(), entry.version());
            assertEquals(
                    head.change(),
                    entry.follower.inForce().map(snapshot -> snapshot.version().change()));
        }
    }

    private static void assertStoreHoldsAllParts(ConfigurationSimulation simulation) {
        simulation
                .store
                .head()
                .parts()
                .forEach((part, version) -> assertTrue(
                        simulation.store.containsKey(ConfigurationKeys.part(part, version)),
                        () -> "lost " + part + " " + version));
    }
}
