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

    /** Guards against due times that overflow, so that an occurrence far in the future is due at once. */
    @Test
    void occurrencesWhoseDueTimesOverflowAreFaults() {
        assertEquals(
                Optional.empty(),
                scheduled(1_764_900_000_000L, 86_400_000, 100_000).fault());
        assertEquals(Optional.empty(), scheduled(0, Long.MAX_VALUE, 1).fault());
        assertTrue(scheduled(Long.MAX_VALUE, 0, 1).fault().isPresent());
        assertTrue(scheduled(0, Long.MAX_VALUE / 2, 4).fault().isPresent());
        assertTrue(scheduled(0, 1_000_000_000, Integer.MAX_VALUE).fault().isPresent());
    }

    /** Guards against identifiers with which a job's key is refused by the store, or its tasks' names are not understood. */
    @Test
    void identifierThatIsNoPartOfAKeyOrATaskNameIsAFault() {
        StepSpec step = step(1).build();
        for (String id : List.of("0123456789abcdef", "A-b_9", "x".repeat(64))) {
            assertEquals(Optional.empty(), named(id, step).fault(), id);
        }
        for (String id : List.of("", "a.b", "a b", "a\n", "\u4e00", "x".repeat(65))) {
            assertTrue(named(id, step).fault().isPresent(), id);
        }
    }

    private static JobSpec named(String id, StepSpec step) {
        return new JobSpec(id, "q", "", List.of(step), JobSpec.Schedule.ONCE);
    }

    private static JobSpec scheduled(long firstMillis, long intervalMillis, int occurrences) {
        return new JobSpec(
                "0123456789abcdef",
                "q",
                "",
                List.of(step(1).build()),
                new JobSpec.Schedule(firstMillis, intervalMillis, occurrences));
    }

    private static StepSpec.Builder step(int count) {
        return StepSpec.builder().tasks(count, SMALL);
    }

    private static JobSpec job(StepSpec... steps) {
        return new JobSpec("0123456789abcdef", "q", "", List.of(steps), JobSpec.Schedule.ONCE);
    }
}
