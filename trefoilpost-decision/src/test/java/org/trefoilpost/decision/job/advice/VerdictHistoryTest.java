package org.trefoilpost.decision.job.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class VerdictHistoryTest {
    private static final double HALF = 0.5;
    private static final List<String> FIRST_GROUP = List.of("a1", "a2", "a3");
    private static final List<String> SECOND_GROUP = List.of("b1", "b2", "b3");

    private final VerdictHistory history = new VerdictHistory();

    @Test
    void shareIsExpectedOfUnknownWorkers() {
        assertEquals(0.3, history.predict(0.3, Map.of("w", true)).chance("other"), 1e-9);
    }

    /** Guards against a request that names several workers which are always judged alike. */
    @Test
    void workersOfAGroupAreExpectedToBeJudgedAlike() {
        recordGroups(30);
        VerdictHistory.Prediction prediction = history.predict(HALF, Map.of("a1", false));
        for (String worker : SECOND_GROUP) {
            assertTrue(prediction.chance(worker) > 0.8, worker);
        }
        assertTrue(prediction.chance("a2") < 0.2);
    }

    @Test
    void verdictThatIsSupposedChangesThePrediction() {
        recordGroups(30);
        VerdictHistory.Prediction prediction = history.predict(HALF, Map.of());
        assertEquals(HALF, prediction.chance("b1"), 1e-9);
        prediction.suppose("a1", false);
        assertTrue(prediction.chance("b1") > 0.8);
    }

    @Test
    void independentVerdictsTellLittle() {
        Random random = new Random(1);
        for (int step = 0; step < 64; step++) {
            for (int worker = 0; worker < 8; worker++) {
                history.record("s" + step, "w" + worker, random.nextBoolean());
            }
        }
        VerdictHistory.Prediction prediction = history.predict(HALF, Map.of("w0", false));
        for (int worker = 1; worker < 8; worker++) {
            double chance = prediction.chance("w" + worker);
            assertTrue(chance > 0.25 && chance < 0.75, "w" + worker + ": " + chance);
        }
    }

    /** Guards against predictions from what has long changed. */
    @Test
    void oldStepsAreForgotten() {
        for (int step = 0; step < 64; step++) {
            history.record("old" + step, "a1", true);
            history.record("old" + step, "b1", true);
        }
        recordGroups(64);
        assertTrue(history.predict(HALF, Map.of("a1", true)).chance("b1") < 0.2);
    }

    private void recordGroups(int steps) {
        for (int i = 0; i < steps; i++) {
            String step = "s" + i;
            boolean first = i % 2 == 0;
            FIRST_GROUP.forEach(worker -> history.record(step, worker, first));
            SECOND_GROUP.forEach(worker -> history.record(step, worker, !first));
        }
    }
}
