package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.TeamDefect;
import org.trefoilpost.decision.job.team.TeamPolicy;
import org.trefoilpost.decision.job.team.Teams;
import org.trefoilpost.entry.runtime.MillisClock;

class TeamDefectLogTest {
    private static final String KEY = "op/config";

    private final MemoryStore store = new MemoryStore();
    private final List<Long> configured = new ArrayList<>();

    /** Guards against a malformed team that operators are not told of, or a line for each read of the configuration. */
    @Test
    void defectsAreLoggedOncePerVersion() {
        assertEquals(2, defectLinesAfter(new TeamPolicy(true, false), 3, 3, 5));
        assertEquals(List.of(3L, 5L), configured);
    }

    /** Guards against an older version that brings a removed key back. */
    @Test
    void olderVersionIsNotApplied() {
        assertEquals(1, defectLinesAfter(new TeamPolicy(true, false), 5, 3));
        assertEquals(List.of(5L), configured);
    }

    /** Guards against lines about teams in a deployment whose settings lack the contract. */
    @Test
    void defectsAreNotLoggedWithoutTheContract() {
        assertEquals(0, defectLinesAfter(TeamPolicy.NONE, 3, 5));
        assertEquals(List.of(3L, 5L), configured);
    }

    private long defectLinesAfter(TeamPolicy policy, int... versions) {
        try (TestService service = new TestService(store, null, new VersionFormats(), MillisClock.steady(), policy)) {
            OperatorEntries entries = new OperatorEntries(service.context(), new Recorder());
            for (int version : versions) {
                store.put(KEY, Integer.toString(version));
                service.run(entries::start);
            }
            String metrics = service.context().metrics().text();
            assertFalse(metrics.contains("team_malformed") && !metrics.contains("reason=\"no-key\""));
            return metrics.lines()
                    .filter(line -> line.startsWith("trefoilpost_jobs_decisions_team_malformed_total"))
                    .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                    .sum();
        }
    }

    private final class Recorder implements OperatorEntries.Listener {
        @Override
        public void configured(JobConfiguration configuration) {
            configured.add(configuration.version());
        }

        @Override
        public void waveRequested(UpkeepWave wave, long revision) {
            // No waves are written.
        }

        @Override
        public void waveWithdrawn(long number) {
            // No waves are written.
        }

        @Override
        public void changesApplied() {
            // Nothing is collected.
        }

        @Override
        public void watchUnanswered() {
            // The store answers.
        }
    }

    /** Formats in which the configuration is its version, with a team that has no key. */
    private static final class VersionFormats extends UnusedFormats {
        @Override
        public Optional<JobConfiguration> configuration(StorePort.Item item) {
            long version = Long.parseLong(new String(item.value(), StandardCharsets.UTF_8));
            Teams teams = Teams.builder()
                    .defect(new TeamDefect(TeamDefect.Kind.NO_KEY, 1, "team-1", ""))
                    .build();
            return Optional.of(new JobConfiguration(version, Map.of(), Set.of(), Set.of(), 1_000, teams));
        }
    }
}
