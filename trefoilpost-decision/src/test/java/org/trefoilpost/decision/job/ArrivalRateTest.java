package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ArrivalRateTest {
    private static final QueueConfig QUEUE =
            new QueueConfig("queue", "h", "/q/", "pool", 0, 3, 1.6, 600, Optional.empty(), false);
    /** A job of four cores for a second: without any run yet, a task is expected to take as long as estimated. */
    private static final StepSpec STEP = StepSpec.builder()
            .tasks(4, new ResourceAmount(1_000, 128, 0))
            .estimateMillis(1_000)
            .build();

    private final ArrivalRate rate = new ArrivalRate(
            new RunStatistics(new PoolState("pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), null)));

    @Test
    void fewSubmissionsGiveNoEstimate() {
        add(4, 0, 20);
        assertEquals(ResourceAmount.NONE, rate.sustainedUse(80));
    }

    @Test
    void useIsWorkPerTime() {
        add(50, 0, 100);
        ResourceAmount use = rate.sustainedUse(4_900);
        // One job of 4 cores for a second each 100 ms keeps 40 cores busy.
        assertEquals(40_000, use.cpuMillis());
        assertEquals(5_120, use.memoryMb());
    }

    @Test
    void estimateFollowsARiseWithinFiveSubmissions() {
        add(10, 0, 2_000);
        add(5, 20_000, 50);
        assertTrue(
                rate.sustainedUse(20_250).cpuMillis() >= 60_000,
                rate.sustainedUse(20_250).toString());
    }

    @Test
    void estimateFallsAfterTheLastSubmission() {
        add(10, 0, 100);
        assertTrue(
                rate.sustainedUse(40_000).cpuMillis() <= 1_000,
                rate.sustainedUse(40_000).toString());
    }

    private void add(int jobs, long firstMillis, long intervalMillis) {
        for (int i = 0; i < jobs; i++) {
            Moment submitted = new Moment(firstMillis + i * intervalMillis, 0);
            JobSpec spec = new JobSpec("job-" + i, "queue", "text", List.of(STEP), JobSpec.Schedule.ONCE);
            rate.jobSubmitted(new JobState(spec, QUEUE, submitted), submitted.steadyMillis());
        }
    }
}
