package org.trefoilpost.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.EntryId;

class ConcurrencyShareTest {
    private static final int SLOTS = 64;

    @Property(seed = "41", tries = 300)
    void entriesThatWantMoreGetTheirShareAndNoSlotStaysIdle(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int entries) {
        Random random = new Random(seed);
        int[] demand = new int[entries];
        int[] inFlight = new int[entries];
        int hog = random.nextInt(entries);
        inFlight[hog] = SLOTS;
        int total = 0;
        for (int i = 0; i < entries; i++) {
            demand[i] = i == hog ? 2 * SLOTS : random.nextInt(40);
            total += demand[i];
        }
        ConcurrencyShare[] shares = new ConcurrencyShare[entries];
        for (int i = 0; i < entries; i++) {
            shares[i] = ConcurrencyShare.of(3_000);
        }
        int[] reported = inFlight.clone();
        for (int round = 0; round < 400; round++) {
            int own = random.nextInt(entries);
            report(shares[own], own, reported, demand, round);
            int limit = shares[own].limit(SLOTS, round);
            int ends = inFlight[own] > limit ? Math.min(2, inFlight[own] - limit) : 0;
            inFlight[own] = Math.max(inFlight[own] - ends, Math.min(demand[own], limit));
            reported[own] = inFlight[own];
        }
        int sum = 0;
        for (int i = 0; i < entries; i++) {
            sum += inFlight[i];
            assertTrue(inFlight[i] >= Math.min(demand[i], SLOTS / entries) - 1, "entry " + i + " is starved");
        }
        assertTrue(sum <= SLOTS + entries, "in flight " + sum);
        assertTrue(sum >= Math.min(total, SLOTS) - entries, "idle although " + total + " are wanted: " + sum);
    }

    @Test
    void aPeerThatStopsReportingNoLongerCounts() {
        ConcurrencyShare share = ConcurrencyShare.of(3_000);
        share.recordPeerLoad(EntryId.of("e1"), 60, 1, 0);
        assertEquals(SLOTS / 2, share.limit(SLOTS, 2_999), "both want more, so each gets half");
        assertEquals(SLOTS, share.limit(SLOTS, 3_000));
        assertEquals(0, share.limit(0, 3_000));
    }

    private static void report(ConcurrencyShare share, int own, int[] reported, int[] demand, long now) {
        for (int peer = 0; peer < reported.length; peer++) {
            if (peer != own) {
                int waiting = Math.max(0, demand[peer] - reported[peer]);
                share.recordPeerLoad(EntryId.of("e" + peer), reported[peer], waiting, now);
            }
        }
    }
}
