package org.trefoilpost.model.verdict;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class VerdictTest {
    @Test
    void notRunVerdictHasItsReasonAndRetryTime() {
        Verdict verdict = Verdict.notRun(RefusalReason.QUEUE_FULL, Duration.ofSeconds(2));
        assertEquals(VerdictKind.NOT_RUN, verdict.kind());
        assertEquals(Optional.of(RefusalReason.QUEUE_FULL), verdict.refusal());
        assertEquals(Optional.of(Duration.ofSeconds(2)), verdict.retryAfter());
        assertEquals("queue-full", verdict.reasonCode());
    }

    @Test
    void mayHaveRunVerdictHasNoRetryTime() {
        assertTrue(Verdict.mayHaveRun(UncertaintyReason.CONNECTION_LOST)
                .retryAfter()
                .isEmpty());
    }

    @Test
    void rejectsNegativeRetryTime() {
        assertThrows(
                IllegalArgumentException.class, () -> Verdict.notRun(RefusalReason.QUEUE_FULL, Duration.ofSeconds(-1)));
    }

    @Test
    void everyReasonHasItsOwnCode() {
        HashSet<String> codes = new HashSet<>();
        Arrays.stream(RefusalReason.values()).forEach(reason -> assertTrue(codes.add(reason.code())));
        Arrays.stream(UncertaintyReason.values()).forEach(reason -> assertTrue(codes.add(reason.code())));
    }
}
