package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RunTrackerTest {
    private static final String JOB = "0123456789abcdef";

    /** Guards against a log that does not tell how long a start without an answer has held its task. */
    @Test
    void absentRunTellsItsPhaseAndItsAgeSinceTheStart() {
        PoolWithOneWorker pool = new PoolWithOneWorker(100);
        pool.report(List.of(), List.of());
        pool.submit(
                JOB,
                StepSpec.builder().tasks(1, new ResourceAmount(1_000, 1_000, 0)).build());
        pool.storeChanges();
        while (pool.orders(WorkerOrder.Start.class).isEmpty()) {
            pool.advance();
        }
        Moment started = pool.now();
        pool.answer(pool.orders(WorkerOrder.Start.class).get(0), OrderResult.NO_ANSWER);
        pool.advance();
        pool.report(List.of(), List.of());
        pool.answer(
                new WorkerOrder.Stop(PoolWithOneWorker.WORKER, WorkerAddress.of("10.0.0.1", 80), JOB + ".0.0.0", 1),
                OrderResult.OK);
        pool.advance();
        pool.report(List.of(), List.of());
        List<Decision> lines = pool.decisions("run-absent");
        assertEquals(1, lines.size());
        assertEquals(
                Map.of(
                        "job",
                        JOB,
                        "task",
                        JOB + ".0.0.0",
                        "run",
                        1,
                        "worker",
                        PoolWithOneWorker.WORKER,
                        "phase",
                        "UNCONFIRMED",
                        "age",
                        pool.now().steadyMillis() - started.steadyMillis()),
                lines.get(0).inputs());
    }
}
