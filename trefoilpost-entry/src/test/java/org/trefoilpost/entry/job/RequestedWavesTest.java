package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;

/** Guards against waves that keep the content with which they were first requested, or the deadline of another content. */
class RequestedWavesTest {
    private static final Moment NOW = new Moment(1_000, 50_000);
    private static final Moment LATER = NOW.plus(700);

    private final List<Decision> log = new ArrayList<>();
    private final RequestedWaves waves = new RequestedWaves(log::add);

    @Test
    void deadlineStaysWhenTheSameWaveIsPassedAgain() {
        waves.put(wave(5_000, 1, "m1", "m2"), NOW);
        assertEquals(false, waves.put(wave(5_000, 1, "m1", "m2"), LATER));
        assertEquals(Optional.of(NOW.plus(5_000)), waves.deadline(1));
        assertEquals(1, log.size());
    }

    @Test
    void deadlineCountsFromTheLatestContent() {
        waves.put(wave(5_000, 1, "m1"), NOW);
        assertEquals(true, waves.put(wave(5_000, 1, "m1", "m2"), LATER));
        assertEquals(Optional.of(LATER.plus(5_000)), waves.deadline(1));
        assertEquals(true, waves.put(wave(9_000, 1, "m1", "m2"), LATER));
        assertEquals(Optional.of(LATER.plus(9_000)), waves.deadline(1));
        assertEquals(true, waves.put(wave(9_000, 2, "m1", "m2"), LATER));
        assertEquals(
                List.of(false, true, true, true),
                log.stream().map(decision -> decision.inputs().get("replaces")).toList());
    }

    private static UpkeepWave wave(long withinMillis, int atOnce, String... machines) {
        return new UpkeepWave(1, List.of(machines), withinMillis, atOnce);
    }
}
