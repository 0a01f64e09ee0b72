package org.trefoilpost.decision.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

class EventSegmentRingTest {
    private static FleetEvent event(int number) {
        return FleetEvent.builder(FleetEventKind.SET_ASIDE, number, "x".repeat(2_000))
                .figures("headroom 0")
                .plan(PlanDigest.of("plan"))
                .pool(PoolName.of("a"))
                .worker(WorkerId.of("w1"))
                .build();
    }

    @Test
    void boundsBytesAndSegments_andKeepsTheNewestEventsWithoutGap() {
        EventSegmentRing log = EventSegmentRing.of(8_192, 4);
        Map<Integer, EventSegment> documents = new HashMap<>();
        EventSegment newest = EventSegment.of(0, List.of());
        for (int i = 0; i < 500; i++) {
            newest = log.append(newest, event(i));
            documents.put(log.slot(newest), newest);
            assertTrue(EventCodec.encode(newest).length <= 8_192);
        }
        assertEquals(4, documents.size());
        List<Long> times = documents.values().stream()
                .flatMap(segment -> segment.events().stream())
                .map(FleetEvent::atMillis)
                .sorted()
                .toList();
        assertEquals(499L, times.get(times.size() - 1));
        assertEquals(times.size(), 500 - times.get(0), "the newest events have no gap");
        assertEquals(newest, EventCodec.decode(EventCodec.encode(newest)));
    }
}
