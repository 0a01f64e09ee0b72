package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a live worker that is taken for one that will not start again. */
class RegistryAbsencesTest {
    private static final long START = 1_000;
    private static final long REGISTRATION = RegistryAbsences.REGISTRATION_MILLIS;

    private final RegistryAbsences absences = new RegistryAbsences(START);

    @Test
    void workerIsAbsentOnceItHadTheTimeToRegisterAgain() {
        absences.listed("w");
        absences.confirmed(20_000);
        assertFalse(absences.isAbsent("w"));
        absences.removed("w", 20_000);
        absences.confirmed(20_000 + REGISTRATION - 1);
        assertFalse(absences.isAbsent("w"));
        absences.confirmed(20_000 + REGISTRATION);
        assertTrue(absences.isAbsent("w"));
    }

    @Test
    void workerThatWasNeverListedIsAbsentOnceTheRegistryHasBeenFollowedForThatTime() {
        absences.confirmed(START + REGISTRATION - 1);
        assertFalse(absences.isAbsent("w"));
        absences.confirmed(START + REGISTRATION);
        assertTrue(absences.isAbsent("w"));
    }

    /** Guards against an entry that lapsed while the registry was silent, and that is not back yet. */
    @Test
    void silenceOfTheRegistryBeginsTheTimeAgain() {
        absences.listed("w");
        absences.removed("w", 20_000);
        absences.confirmed(20_000 + REGISTRATION);
        absences.interrupted(30_000);
        absences.confirmed(30_000 + REGISTRATION - 1);
        assertFalse(absences.isAbsent("w"));
        absences.confirmed(30_000 + REGISTRATION);
        assertTrue(absences.isAbsent("w"));
    }

    /** Guards against an entry that came and went while the registry's changes were not known. */
    @Test
    void readingAllEntriesAgainBeginsTheTimeAgain() {
        absences.listed("w");
        absences.removed("w", 20_000);
        absences.confirmed(20_000 + REGISTRATION);
        absences.readAgain(40_000);
        absences.confirmed(40_000 + REGISTRATION - 1);
        assertFalse(absences.isAbsent("w"));
        absences.confirmed(40_000 + REGISTRATION);
        assertTrue(absences.isAbsent("w"));
    }

    @Test
    void workerThatIsListedAgainIsNotAbsent() {
        absences.listed("w");
        absences.removed("w", 20_000);
        absences.listed("w");
        absences.confirmed(60_000);
        assertFalse(absences.isAbsent("w"));
    }

    /** Guards against an absence that counts from before the confirmations, as the removal was learned late. */
    @Test
    void confirmationOfAnEarlierTimeDoesNotCount() {
        absences.listed("w");
        absences.confirmed(50_000);
        absences.removed("w", 60_000);
        absences.confirmed(61_000);
        absences.confirmed(40_000);
        assertFalse(absences.isAbsent("w"));
    }
}
