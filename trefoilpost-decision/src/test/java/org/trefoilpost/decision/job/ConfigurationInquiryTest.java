package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ConfigurationInquiryTest {
    private static final List<String> PEERS = List.of("a", "c", "d");
    private final ConfigurationInquiry inquiry = new ConfigurationInquiry(new ConfigurationBound(2_000), "b");

    @Test
    void nobodyIsAskedWhileTheConfirmationIsYoung() {
        assertEquals(Optional.empty(), inquiry.peerToAsk(OptionalLong.of(1_000), PEERS, 0));
        assertEquals(Optional.of("c"), inquiry.peerToAsk(OptionalLong.of(1_001), PEERS, 0));
        assertEquals(Optional.empty(), inquiry.peerToAsk(OptionalLong.of(5_000), List.of(), 10_000));
    }

    /** Guards against asking the same silent entry over and over. */
    @Test
    void anotherEntryIsAskedEachTime() {
        List<String> asked = new ArrayList<>();
        for (long nowMillis = 0; nowMillis <= 600; nowMillis += 20) {
            inquiry.peerToAsk(OptionalLong.of(1_100), PEERS, nowMillis).ifPresent(asked::add);
        }
        assertEquals(List.of("c", "d", "a", "c", "d", "a", "c"), asked);
    }

    /** Guards against a reported confirmation that comes too late, as only few of many entries reach the store. */
    @Test
    void manyEntriesAreAskedBeforeTheBound() {
        int asked = 0;
        for (long ageMillis = 0; ageMillis <= 2_000; ageMillis += 20) {
            asked += inquiry.peerToAsk(OptionalLong.of(ageMillis), PEERS, ageMillis)
                            .isPresent()
                    ? 1
                    : 0;
        }
        assertEquals(10, asked);
    }

    @Test
    void entriesAreAskedLessOftenWhileNobodyReachesTheStore() {
        int asked = 0;
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 20) {
            asked += inquiry.peerToAsk(OptionalLong.empty(), PEERS, nowMillis).isPresent() ? 1 : 0;
        }
        assertTrue(asked > 100 && asked < 150, asked + " calls in a minute");
        inquiry.peerToAsk(OptionalLong.of(0), PEERS, 60_000);
        assertTrue(inquiry.peerToAsk(OptionalLong.of(1_100), PEERS, 61_000).isPresent());
        assertTrue(inquiry.peerToAsk(OptionalLong.of(1_200), PEERS, 61_100).isPresent());
    }
}
