package org.trefoilpost.standins.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.Json;

class WorkerCoreTest {
    private static final WorkerRequest REQUEST = WorkerRequest.of(Optional.of("q"), Optional.empty(), "/x", 10);
    private static final WorkerRequest LATE = WorkerRequest.of(Optional.of("q"), Optional.empty(), "/x", 0);

    private final WorkerCore core =
            new WorkerCore(new WorkerSettings().limits(2, 64).resources(4, 100, 0), RunLog.none(), 7);

    private HttpAnswer put(String job, long epoch, String more, long nowMillis) {
        String json = ("{'kind':'batch','cores':2,'memoryMb':10,'runMillis':1000" + more + "}").replace('\'', '"');
        return core.putTask(job, epoch, TaskSpec.of(Json.parse(json.getBytes())), 500, nowMillis);
    }

    private int change(String job, long epoch, TaskChange change, long nowMillis) {
        return core.changeTask(job, epoch, change, nowMillis).status();
    }

    private JsonNode task(long nowMillis) {
        return core.status(nowMillis).get("tasks").get(0);
    }

    private String state(long nowMillis) {
        return core.status(nowMillis).get("state").asText();
    }

    private static ObjectNode fault(String name) {
        return Json.object().put(name, true);
    }

    @Test
    void rejectsOverTheSlotsAndAfterTheDeadlineBeforeTheStart() {
        assertEquals(Optional.of("deadline"), core.begin(LATE, 0));
        assertEquals(Optional.empty(), core.begin(REQUEST, 0));
        assertEquals(201, put("j", 1, ",'slots':1", 0).status());
        assertEquals(Optional.of("slots"), core.begin(REQUEST, 0));
        core.changeTask("j", 1, TaskChange.stop(), 0);
        assertEquals(Optional.empty(), core.begin(REQUEST, 0));
        assertEquals(503, put("k", 1, ",'slots':1", 0).status());
        core.end(REQUEST, 200, 1);
        assertEquals(201, put("k", 1, ",'slots':1", 1).status());
        assertEquals(2, core.counters().get("started").asInt());
    }

    @Test
    void stopWaitsForRequestsAndTasksThenARebootRaisesTheIncarnation() {
        core.begin(REQUEST, 0);
        put("j", 1, "", 0);
        assertFalse(core.stop(6, 0));
        assertTrue(core.stop(7, 0));
        assertEquals(Optional.of("stopped"), core.begin(REQUEST, 0));
        assertEquals(503, put("k", 1, "", 0).status());
        assertEquals(200, put("j", 1, "", 400).status());
        core.end(REQUEST, 200, 500);
        assertEquals("stopping", state(500));
        assertFalse(core.reboot(7, 500));
        assertEquals("stopped", state(1000));
        assertFalse(core.reboot(6, 1000));
        assertTrue(core.reboot(7, 1000));
        assertEquals(Optional.of("stopped"), core.begin(REQUEST, 1000));
        assertFalse(core.reboot(7, 1000));
        core.comeBack(1300);
        assertEquals(8, core.incarnation());
        assertEquals("live", state(1300));
        assertEquals(0, core.status(1300).get("tasks").size());
        assertFalse(core.stop(7, 1300));
    }

    @Test
    void leavingTakesNoNewWorkUntilItIsTakenBack() {
        core.changeFaults(fault("leaving"));
        assertEquals(Optional.of("leaving"), core.begin(REQUEST, 0));
        assertEquals(503, put("j", 1, "", 0).status());
        core.changeFaults(Json.object().put("leaving", false));
        assertEquals(Optional.empty(), core.begin(REQUEST, 0));
    }

    @Test
    void newerEpochFencesOffOlderOnes() {
        assertEquals(201, put("j", 2, "", 0).status());
        assertEquals(409, put("j", 1, "", 1).status());
        assertEquals(200, put("j", 2, "", 1).status());
        assertEquals(201, put("j", 3, "", 100).status());
        assertEquals(409, put("j", 2, "", 100).status());
        assertEquals(409, change("j", 2, TaskChange.stop(), 100));
        assertEquals(409, change("j", 4, TaskChange.stop(), 100));
        assertEquals(404, change("k", 1, TaskChange.stop(), 100));
        assertEquals(3, task(100).get("epoch").asInt());
        assertEquals(1, core.status(100).get("tasks").size());
    }

    @Test
    void lateRenewalDoesNotStartAnEndedTaskAgain() {
        put("j", 1, "", 0);
        assertEquals(200, change("j", 1, TaskChange.stop(), 10));
        assertEquals(200, change("j", 1, TaskChange.stop(), 11));
        assertEquals(409, put("j", 1, "", 12).status());
        assertEquals(0, core.status(12).get("tasks").size());
        assertEquals(201, put("j", 2, "", 13).status());
    }

    @Test
    void lapsedLeaseEndsTheTaskOnlyWhenTheWorkerNotices() {
        put("j", 1, "", 0);
        put("j", 1, "", 300);
        assertEquals("running", task(799).get("state").asText());
        assertEquals("lapsed", task(800).get("state").asText());
        assertEquals(
                "lapsed", Json.parse(put("j", 1, "", 801).body()).get("state").asText());
    }

    @Test
    void checkpointKeepsTheProgressForTheNextStart() {
        put("j", 1, "", 0);
        HttpAnswer saved = core.changeTask("j", 1, TaskChange.checkpoint(), 250);
        String checkpoint = Json.parse(saved.body()).get("checkpoint").asText();
        HttpAnswer again = core.changeTask("j", 1, TaskChange.checkpoint(), 400);
        assertEquals(checkpoint, Json.parse(again.body()).get("checkpoint").asText());
        put("j", 2, ",'checkpoint':'" + checkpoint + "'", 1000);
        assertEquals(0.25, task(1000).get("progress").asDouble());
    }

    @Test
    void throttledTaskWorksAndUsesItsShareAndUsageLags() {
        put("j", 1, "", 0);
        core.changeTask("j", 1, TaskChange.throttle(50), 100);
        assertEquals(0.0, task(400).get("coresUsed").asDouble());
        put("j", 1, "", 400);
        assertEquals(1.0, task(500).get("coresUsed").asDouble());
        assertEquals(0.3, task(500).get("progress").asDouble());
        core.changeTask("j", 1, TaskChange.throttle(0), 500);
        assertEquals(0.3, task(800).get("progress").asDouble());
    }

    @Test
    void tasksMustFitTheWorkerBesideTheOthers() {
        assertEquals(201, put("a", 1, "", 0).status());
        assertEquals(503, put("b", 1, ",'accelerators':1", 0).status());
        assertEquals(201, put("b", 1, "", 0).status());
        assertEquals("slots", put("c", 1, "", 0).header("Worker-Not-Started").orElseThrow());
        assertEquals(201, put("b", 2, "", 0).status());
        core.changeFaults(fault("failTasks"));
        core.tick(1);
        assertEquals("failed", task(1).get("state").asText());
    }

    @Test
    void hangingWorkerAcceptsOverItsSlotsAndARejectingOneNothing() {
        core.changeFaults(fault("hang"));
        for (int i = 0; i < 5; i++) {
            assertEquals(Optional.empty(), core.begin(REQUEST, 0));
        }
        core.changeFaults(fault("rejectAll"));
        assertEquals(Optional.of("slots"), core.begin(REQUEST, 0));
    }
}
