package org.trefoilpost.entry.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LogCorrelatorTest {
    private static final List<String> LOG_LINES = List.of(
            "{\"time\":\"3\",\"event\":\"worker-lost\",\"worker\":\"w1\",\"reason\":\"lease-lapsed\"}",
            "another program's line",
            "entry-1 {\"time\":\"1\",\"event\":\"job-submitted\",\"job\":\"j1\",\"pool\":\"p\"}",
            "{\"time\":\"2\",\"event\":\"task-placed\",\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"worker\":\"w1\"}",
            "{\"time\":\"2\",\"event\":\"task-placed\",\"job\":\"j2\",\"task\":\"j2.0.0.0\",\"worker\":\"w1\"}",
            "{\"time\":\"4\",\"event\":\"pool-claimed\",\"pool\":\"other\",\"token\":7}",
            "{\"time\":\"5\",\"event\":\"pool-claimed\",\"pool\":\"p\",\"token\":8}",
            "{\"time\":\"6\",\"event\":\"request-refused\",\"reason\":\"unknown-queue\",\"request\":\"GET /q/j1\"}",
            "{not JSON");

    @Test
    void returnsLinesOfAJobItsWorkersAndItsPoolInTimeOrder() {
        assertEquals(
                List.of(
                        "1 job-submitted job=j1 pool=p",
                        "2 task-placed job=j1 task=j1.0.0.0 worker=w1",
                        "3 worker-lost worker=w1 reason=lease-lapsed",
                        "5 pool-claimed pool=p token=8",
                        "6 request-refused reason=unknown-queue request=GET /q/j1"),
                LogCorrelator.of(LOG_LINES).linesFor("j1"));
    }

    @Test
    void returnsWhenTheVersionThatRefusedARequestAndTheNextOneWereApplied() {
        List<String> lines = List.of(
                "{\"time\":\"1\",\"event\":\"configuration-in-force\",\"version\":2}",
                "{\"time\":\"2\",\"event\":\"configuration-in-force\",\"version\":4}",
                "{\"time\":\"3\",\"event\":\"request-refused\",\"request\":\"GET /q/j1\",\"version\":4}",
                "{\"time\":\"4\",\"event\":\"configuration-in-force\",\"version\":9}",
                "{\"time\":\"5\",\"event\":\"configuration-in-force\",\"version\":10}");
        assertEquals(
                List.of(
                        "2 configuration-in-force version=4",
                        "3 request-refused request=GET /q/j1 version=4",
                        "4 configuration-in-force version=9"),
                LogCorrelator.of(lines).linesFor("j1"));
    }

    @Test
    void returnsTheWaitOfATaskWithTheLinesOfTheWorkerThatHoldsIt() {
        List<String> lines = List.of(
                "{\"time\":\"1\",\"event\":\"worker-lost\",\"worker\":\"w2\",\"reason\":\"lease-lapsed\"}",
                "{\"time\":\"2\",\"event\":\"task-waiting\",\"job\":\"j1\",\"task\":\"j1.0.0.0\",\"pool\":\"p\","
                        + "\"wait\":3200,\"reason\":\"run-unresolved\",\"run\":2,\"worker\":\"w2\"}",
                "{\"time\":\"3\",\"event\":\"task-waiting\",\"job\":\"j2\",\"task\":\"j2.0.0.0\",\"pool\":\"p\","
                        + "\"wait\":3100,\"reason\":\"no-room\"}");
        assertEquals(
                List.of(
                        "1 worker-lost worker=w2 reason=lease-lapsed",
                        "2 task-waiting job=j1 task=j1.0.0.0 pool=p wait=3200 reason=run-unresolved run=2 worker=w2"),
                LogCorrelator.of(lines).linesFor("j1"));
    }

    @Test
    void returnsNoLinesForAnUnknownJob() {
        assertEquals(List.of(), LogCorrelator.of(LOG_LINES).linesFor("j3"));
    }
}
