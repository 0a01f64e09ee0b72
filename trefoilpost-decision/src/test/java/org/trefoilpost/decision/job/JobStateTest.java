package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class JobStateTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final int TASKS = 3;
    private static final int OCCURRENCES = 100_000;

    /** Guards against a job whose occurrences are all due and take the memory of the process. */
    @Test
    void occurrencesThatAreDueTogetherAreOpenedInParts() {
        StepSpec step =
                StepSpec.builder().tasks(TASKS, new ResourceAmount(500, 256, 0)).build();
        JobSpec.Schedule schedule = new JobSpec.Schedule(NOW.wallMillis() - 1, 0, OCCURRENCES);
        QueueConfig queue = new QueueConfig("q", "h", "/q/", "pool", 0, 3, 1.6, 600, Optional.empty(), false);
        JobState job = new JobState(new JobSpec("0123456789abcdef", "q", "", List.of(step), schedule), queue, NOW);
        int opened = 0;
        while (!job.allOccurrencesEnded()) {
            job.openDueOccurrences(NOW);
            int open = job.openOccurrences().size();
            assertTrue(open > 0 && open * TASKS <= JobSpec.MAX_TASKS, "open occurrences: " + open);
            List.copyOf(job.openOccurrences()).forEach(job::close);
            opened += open;
        }
        assertEquals(OCCURRENCES, opened);
    }
}
