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
        waves.put(wave(5_000, 1, "m1", "m2"), 4, NOW);
        assertEquals(false, waves.put(wave(5_000, 1, "m1", "m2"), 4, LATER));
        assertEquals(Optional.of(NOW.plus(5_000)), waves.deadline(1));
        assertEquals(1, log.size());
    }

    @Test
    void deadlineCountsFromTheLatestContent() {
        waves.put(wave(5_000, 1, "m1"), 4, NOW);
        assertEquals(true, waves.put(wave(5_000, 1, "m1", "m2"), 4, LATER));
        assertEquals(Optional.of(LATER.plus(5_000)), waves.deadline(1));
        assertEquals(true, waves.put(wave(9_000, 1, "m1", "m2"), 4, LATER));
        assertEquals(Optional.of(LATER.plus(9_000)), waves.deadline(1));
        assertEquals(true, waves.put(wave(9_000, 2, "m1", "m2"), 4, LATER));
        assertEquals(
                List.of(false, true, true, true),
                log.stream().map(decision -> decision.inputs().get("replaces")).toList());
    }

    @Test
    void revisionIsThatOfTheLatestItemThoughItsContentIsTheSame() {
        assertEquals(0, waves.revision(1));
        waves.put(wave(5_000, 1, "m1"), 4, NOW);
        assertEquals(4, waves.revision(1));
        assertEquals(false, waves.put(wave(5_000, 1, "m1"), 7, LATER));
        assertEquals(7, waves.revision(1));
        assertEquals(Optional.of(NOW.plus(5_000)), waves.deadline(1));
    }

    @Test
    void withdrawnWaveIsNewWhenItIsRequestedAgain() {
        waves.put(wave(5_000, 1, "m1"), 4, NOW);
        assertEquals(true, waves.remove(1));
        assertEquals(false, waves.remove(1));
        assertEquals(Optional.empty(), waves.deadline(1));
        assertEquals(0, waves.revision(1));
        assertEquals(true, waves.put(wave(5_000, 1, "m1"), 5, LATER));
        assertEquals(Optional.of(LATER.plus(5_000)), waves.deadline(1));
        assertEquals(
                List.of("wave-requested", "wave-withdrawn", "wave-requested"),
                log.stream().map(Decision::name).toList());
    }

    private static UpkeepWave wave(long withinMillis, int atOnce, String... machines) {
        return new UpkeepWave(1, List.of(machines), withinMillis, atOnce);
    }
}
