package org.trefoilpost.bench.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class NetworkModelTest {
    private static final int ENTRIES = 9;
    private static final int MAX_DETECTION_MILLIS = 2_000;

    @ParameterizedTest
    @EnumSource(Manner.class)
    void everyEntryDetectsAStopAndFreezesBlameNobodyElse(Manner manner) {
        NetworkResult result = NetworkModel.run(manner, ENTRIES, 0, 2, 1);
        assertEquals(ENTRIES - 1, result.detections());
        assertTrue(result.lastDetectionMillis() <= MAX_DETECTION_MILLIS, "after " + result.lastDetectionMillis());
        assertEquals(0, result.falseSuspicions());
    }

    @ParameterizedTest
    @EnumSource(Manner.class)
    void anEntrySendsNoMoreThanOneHeartbeatToAPeerInAnInterval(Manner manner) {
        NetworkResult result = NetworkModel.run(manner, ENTRIES, 0, 2, 1);
        assertTrue(result.messagesPerSecond() <= (ENTRIES - 1) * 4.0, result.messagesPerSecond() + "/s");
    }
}
