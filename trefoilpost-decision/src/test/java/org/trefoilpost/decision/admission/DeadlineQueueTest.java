package org.trefoilpost.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.request.RequestClass;

class DeadlineQueueTest {
    private static final Comparator<AdmissionRequest> ORDER =
            Comparator.comparingLong(AdmissionRequest::deadlineMillis).thenComparingLong(AdmissionRequest::id);

    @Property(seed = "31", tries = 200)
    void behavesLikeASortedList(@ForAll long seed) {
        Random random = new Random(seed);
        DeadlineQueue queue = new DeadlineQueue();
        List<AdmissionRequest> sorted = new ArrayList<>();
        for (int id = 0; id < 200; id++) {
            AdmissionRequest request = request(id, random.nextInt(50));
            assertEquals(
                    sorted.stream()
                            .filter(other -> ORDER.compare(other, request) < 0)
                            .count(),
                    queue.rank(request));
            queue.add(request);
            sorted.add(request);
            sorted.sort(ORDER);
            if (random.nextInt(3) == 0) {
                queue.remove(sorted.remove(random.nextInt(sorted.size())));
            }
            assertEquals(sorted, queue.toList());
            assertEquals(sorted.size(), queue.size());
            assertEquals(sorted.isEmpty() ? null : sorted.get(0), queue.first());
            assertEquals(sorted.isEmpty() ? null : sorted.get(sorted.size() - 1), queue.last());
        }
    }

    @Test
    void depthStaysLogarithmicDuringRemovalInDeadlineOrder() {
        DeadlineQueue queue = new DeadlineQueue();
        int size = 1 << 17;
        for (int id = 0; id < size; id++) {
            queue.add(request(id, id));
        }
        for (int id = 0; id < size - 1; id++) {
            if (id % 1_000 == 0) {
                assertTrue(queue.depth() <= 4 * 17, "depth " + queue.depth() + " after " + id);
            }
            queue.remove(request(id, id));
        }
        assertEquals(1, queue.size());
    }

    private static AdmissionRequest request(long id, long deadlineMillis) {
        return AdmissionRequest.of(id, RequestClass.NORMAL, deadlineMillis);
    }
}
