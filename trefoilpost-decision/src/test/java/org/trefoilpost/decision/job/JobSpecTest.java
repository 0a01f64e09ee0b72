package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class JobSpecTest {
    private static final ResourceAmount SMALL = new ResourceAmount(500, 256, 0);

    /** Guards against a sum of task counts that overflows, so that a job of two billion tasks is accepted. */
    @Test
    void taskCountsAreAddedWithoutOverflow() {
        StepSpec first = step(JobSpec.MAX_TASKS).build();
        assertEquals(Optional.empty(), job(first).fault());
        for (int count : List.of(1, Integer.MAX_VALUE - JobSpec.MAX_TASKS, Integer.MAX_VALUE)) {
            assertTrue(job(first, step(count).build()).fault().isPresent(), "count " + count);
        }
    }

    /** Guards against amounts whose sums over the jobs of a pool overflow. */
    @Test
    void amountsThatNoPoolCanServeAreFaults() {
        assertEquals(
                Optional.empty(),
                job(step(1).estimateMillis(JobSpec.MAX_DURATION_MILLIS).build()).fault());
        for (StepSpec step : List.of(
                StepSpec.builder()
                        .tasks(1, new ResourceAmount(Long.MAX_VALUE, 0, 0))
                        .build(),
                StepSpec.builder()
                        .tasks(1, new ResourceAmount(0, Long.MAX_VALUE, 0))
                        .build(),
                StepSpec.builder()
                        .tasks(1, new ResourceAmount(0, 0, Long.MAX_VALUE))
                        .build(),
                step(1).estimateMillis(Long.MAX_VALUE).build(),
                step(1).service("", Long.MAX_VALUE, 0).build())) {
            assertTrue(job(step).fault().isPresent());
        }
    }

    private static StepSpec.Builder step(int count) {
        return StepSpec.builder().tasks(count, SMALL);
    }

    private static JobSpec job(StepSpec... steps) {
        return new JobSpec("0123456789abcdef", "q", "", List.of(steps), JobSpec.Schedule.ONCE);
    }
}
