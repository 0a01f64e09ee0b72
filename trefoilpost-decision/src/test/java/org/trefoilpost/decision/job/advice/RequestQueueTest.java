package org.trefoilpost.decision.job.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestQueueTest {
    private static final long NOW = 1_000_000;
    private static final long LEAD = RequestQueue.LEAD_MILLIS;

    private final RequestQueue<String> queue = new RequestQueue<>();

    @Test
    void nextRequestIsSentWhenTheServiceIsSoonIdle() {
        assertTrue(queue.mayAdd(NOW));
        queue.add("a", 1_000, NOW);
        assertFalse(queue.mayAdd(NOW));
        assertFalse(queue.mayAdd(NOW + 1_000 - LEAD));
        assertTrue(queue.mayAdd(NOW + 1_001 - LEAD));
    }

    @Test
    void waitIsThatOfAllRequests() {
        queue.add("a", 1_000, NOW);
        queue.add("b", 500, NOW + 900);
        assertEquals(600, queue.waitMillis(NOW + 900));
        queue.answered("a", NOW + 1_100);
        assertEquals(500, queue.waitMillis(NOW + 1_100));
        queue.answered("b", NOW + 1_700);
        assertEquals(0, queue.waitMillis(NOW + 1_700));
        assertEquals(0, queue.waitMillis(NOW + 5_000));
    }

    @Test
    void answersMayOvertakeOneAnother() {
        queue.add("a", 100, NOW);
        queue.add("b", 50, NOW);
        queue.answered("b", NOW + 60);
        assertEquals(100, queue.waitMillis(NOW + 60));
        queue.answered("a", NOW + 160);
        assertTrue(queue.mayAdd(NOW + 160));
    }

    /** Guards against requests that pile up at a service that takes longer than its policy says. */
    @Test
    void fewRequestsWaitForALateAnswer() {
        List<String> sent = new ArrayList<>();
        for (long millis = 0; millis < 10_000; millis += 20) {
            if (queue.mayAdd(NOW + millis)) {
                sent.add("r" + millis);
                queue.add(sent.get(sent.size() - 1), 150, NOW + millis);
            }
        }
        assertTrue(sent.size() >= 2 && sent.size() <= 4, "sent: " + sent);
        sent.forEach(request -> queue.answered(request, NOW + 10_000));
        assertTrue(queue.mayAdd(NOW + 10_000));
    }

    /** Guards against a wait that leaves out the requests that the service handles for nothing. */
    @Test
    void requestGivenUpCountsUntilALaterOneIsAnswered() {
        queue.add("a", 1_000, NOW);
        queue.givenUp("a");
        assertEquals(900, queue.waitMillis(NOW + 100));
        queue.add("b", 1_000, NOW + 100);
        assertEquals(1_900, queue.waitMillis(NOW + 100));
        queue.answered("b", NOW + 1_500);
        assertEquals(0, queue.waitMillis(NOW + 1_500));
    }

    @Test
    void requestGivenUpDoesNotHoldUpOthersForGood() {
        queue.add("a", 100, NOW);
        queue.add("b", 100, NOW);
        queue.givenUp("a");
        queue.givenUp("b");
        assertTrue(queue.mayAdd(NOW + 3_000));
    }

    @Test
    void rejectedRequestTakesNoTime() {
        queue.add("a", 1_000, NOW);
        queue.add("b", 500, NOW);
        queue.rejected("b");
        assertEquals(1_000, queue.waitMillis(NOW));
    }

    @Test
    void unknownRequestHasNoEffect() {
        queue.add("a", 1_000, NOW);
        queue.answered("b", NOW);
        queue.rejected("b");
        queue.givenUp("b");
        assertEquals(1_000, queue.waitMillis(NOW));
    }

    /** Guards against more requests than the service lets wait. */
    @Test
    void requestsThatTakeNoTimeAreLimited() {
        int sent = 0;
        while (queue.mayAdd(NOW) && sent < 100) {
            queue.add("r" + sent, 0, NOW);
            sent++;
        }
        assertTrue(sent > 1 && sent < 32, sent + " were sent");
    }
}
