package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FirstSubmissionsTest {
    private final FirstSubmissions offers = new FirstSubmissions();

    @Test
    void resubmittedJobKeepsItsFirstSubmissionTime() {
        offers.recordRefusal("a", 1_000);
        offers.recordRefusal("a", 1_500);
        assertEquals(1_000, offers.firstSubmittedMillis("a", 2_000));
        assertEquals(2_000, offers.firstSubmittedMillis("b", 2_000));
    }

    @Test
    void acceptedJobIsRemoved() {
        offers.recordRefusal("a", 1_000);
        offers.remove("a");
        assertEquals(2_000, offers.firstSubmittedMillis("a", 2_000));
    }

    @Test
    void jobThatIsNotResubmittedExpires() {
        offers.recordRefusal("a", 1_000);
        offers.recordRefusal("b", 20_000);
        offers.recordRefusal("c", 40_000);
        assertEquals(50_000, offers.firstSubmittedMillis("a", 50_000));
        assertEquals(20_000, offers.firstSubmittedMillis("b", 50_000));
    }

    @Test
    void oldestJobIsRemovedAtTheSizeLimit() {
        for (int i = 0; i <= 20_000; i++) {
            offers.recordRefusal("job-" + i, 1_000);
        }
        assertEquals(2_000, offers.firstSubmittedMillis("job-0", 2_000));
        assertEquals(1_000, offers.firstSubmittedMillis("job-1", 2_000));
    }
}
