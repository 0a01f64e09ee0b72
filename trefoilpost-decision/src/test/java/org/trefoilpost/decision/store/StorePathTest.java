package org.trefoilpost.decision.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class StorePathTest {
    private final StorePath path = new StorePath("entry-2");

    @Test
    void connectionsThatAreResetTogetherLeaveThePathUsable() {
        assertFalse(path.failed(1_000));
        assertFalse(path.failed(1_001));
        assertFalse(path.failed(1_099));
        assertTrue(path.isDirect());
        path.answered();
        assertFalse(path.failed(1_200), "the failures before the answer no longer count");
    }

    @Test
    void callsGoThroughPeersAfterRepeatedFailures() {
        makeUnusable();
        assertFalse(path.isDirect());
        assertEquals(List.of("entry-3", "entry-1"), path.peersForCall(List.of("entry-1", "entry-3"), 1_100));
        assertEquals(List.of(), path.peersForCall(List.of(), 1_100));
    }

    @Test
    void silenceMakesThePathUnusableBeforeCallsTimeOut() {
        path.sent(1_000);
        path.sent(1_300);
        assertFalse(path.checkSilence(1_500));
        assertTrue(path.checkSilence(1_501));
        assertFalse(path.checkSilence(1_600), "it is reported once");
        assertFalse(path.isDirect());
    }

    @Test
    void answerToAnyCallEndsTheSilence() {
        path.sent(1_000);
        path.answered();
        path.sent(1_400);
        assertFalse(path.checkSilence(1_600));
    }

    @Test
    void firstAnswerMakesThePathUsable() {
        makeUnusable();
        assertTrue(path.answered());
        assertTrue(path.isDirect());
        assertEquals(List.of(), path.peersForCall(List.of("entry-1"), 1_200));
        assertFalse(path.answered());
    }

    @Test
    void unusablePathIsProbedAtIntervals() {
        assertFalse(path.takeProbe(900));
        makeUnusable();
        assertFalse(path.takeProbe(1_500));
        assertTrue(path.takeProbe(1_600));
        assertFalse(path.takeProbe(1_601));
        assertTrue(path.takeProbe(2_100));
    }

    @Test
    void peerThatCannotPassCallsOnIsNotAskedForASecond() {
        makeUnusable();
        path.notPassedOn("entry-3", 1_100);
        assertEquals(List.of("entry-1"), path.peersForCall(List.of("entry-1", "entry-3"), 2_099));
        assertEquals(List.of("entry-3", "entry-1"), path.peersForCall(List.of("entry-1", "entry-3"), 2_100));
    }

    @Test
    void peerThatPassedACallOnIsAskedFirst() {
        makeUnusable();
        path.passedOn("entry-1", 1_100);
        assertEquals(List.of("entry-1", "entry-3"), path.peersForCall(List.of("entry-1", "entry-3", "entry-4"), 1_100));
    }

    @Test
    void storeIsServedWhileCallsArePassedOn() {
        assertTrue(path.isServed(900));
        makeUnusable();
        assertFalse(path.isServed(1_100));
        path.passedOn("entry-1", 1_200);
        assertTrue(path.isServed(2_200));
        assertFalse(path.isServed(2_201));
        path.answered();
        assertTrue(path.isServed(9_000));
    }

    private void makeUnusable() {
        path.failed(1_000);
        assertTrue(path.failed(1_100));
    }
}
