package org.trefoilpost.decision.stop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StopScheduleTest {
    @Test
    void requestReadBeforeTheRotationIsLeftHasItsWholeUsualDeadline() {
        StopSchedule schedule = StopSchedule.of(6_000);
        assertEquals(2_200, schedule.rotationExitMillis());
        assertTrue(schedule.lastAnswersMillis() >= schedule.rotationExitMillis() + 2_750);
        assertTrue(schedule.exitMillis() > schedule.lastAnswersMillis());
        assertTrue(schedule.exitMillis() < 6_000);
    }

    @Test
    void stepsKeepTheirOrderAndEndWithinTheGraceTime() {
        for (long graceMillis = 0; graceMillis <= 20_000; graceMillis += 50) {
            StopSchedule schedule = StopSchedule.of(graceMillis);
            assertTrue(schedule.rotationExitMillis() >= 0, schedule.toString());
            assertTrue(schedule.announcementMillis() >= 0, schedule.toString());
            assertTrue(schedule.announcementMillis() <= schedule.lastAnswersMillis(), schedule.toString());
            assertTrue(schedule.rotationExitMillis() <= schedule.lastAnswersMillis(), schedule.toString());
            assertTrue(schedule.lastAnswersMillis() <= schedule.exitMillis(), schedule.toString());
            assertTrue(schedule.exitMillis() <= graceMillis, schedule.toString());
        }
    }

    @Test
    void entryOutsideTheRotationDoesNotWaitToLeaveIt() {
        StopSchedule schedule = StopSchedule.of(6_000).withoutRotation();
        assertEquals(0, schedule.rotationExitMillis());
        assertEquals(1_000, schedule.announcementMillis());
        assertEquals(StopSchedule.of(6_000).lastAnswersMillis(), schedule.lastAnswersMillis());
        assertEquals(StopSchedule.of(6_000).exitMillis(), schedule.exitMillis());
    }

    @Test
    void negativeGraceTimeIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> StopSchedule.of(-1));
    }
}
