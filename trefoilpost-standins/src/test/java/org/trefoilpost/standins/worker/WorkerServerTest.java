package org.trefoilpost.standins.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.trefoilpost.standins.http.Json;
import org.trefoilpost.standins.http.Probe;
import org.trefoilpost.standins.platform.PlatformServer;
import org.trefoilpost.standins.platform.PlatformSettings;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WorkerServerTest {
    private static final String HELLO_SHA256 = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";

    @TempDir
    private Path directory;

    private WorkerServer server;
    private Probe probe;

    private void start(WorkerSettings settings) throws IOException {
        server = WorkerServer.start(settings.incarnation(1).times(0, 0).runLog(directory.resolve("log")));
        probe = Probe.of(server.endpoint());
    }

    @AfterEach
    void close() {
        server.close();
    }

    private List<String> events() throws IOException {
        return Files.readAllLines(directory.resolve("log")).stream()
                .map(line -> Json.parse(line.getBytes(StandardCharsets.UTF_8)))
                .map(entry -> entry.get("event").asText() + " " + entry.get("incarnation"))
                .toList();
    }

    private void waitForStarted(int count) throws IOException {
        while (probe.json("/standin/counters").get("started").asInt() != count) {
            Thread.onSpinWait();
        }
    }

    @Test
    void answerNamesItsRequestAndKeepsTheAskedLength() throws IOException {
        start(new WorkerSettings());
        HttpResponse<String> answer = probe.call(
                "POST", "/any/path?bytes=500", "hello", "Trefoilpost-Request-Id", "q1", "Idempotency-Key", "k1");
        assertEquals(200, answer.statusCode());
        assertEquals(Optional.of("q1"), answer.headers().firstValue("Trefoilpost-Request-Id"));
        assertEquals(500, answer.body().length());
        JsonNode body = Json.parse(answer.body().getBytes(StandardCharsets.UTF_8));
        assertEquals(
                "[\"q1\",\"k1\",\"w1\"]",
                Json.object()
                        .putArray("l")
                        .add(body.get("requestId"))
                        .add(body.get("key"))
                        .add(body.get("worker"))
                        .toString());
        assertEquals(HELLO_SHA256, body.get("sha256").asText());
        assertEquals(List.of("start 1", "request-start 1", "request-end 1"), events());
    }

    @Test
    void fullWorkerRejectsWithoutALineInTheRunLog() throws IOException {
        start(new WorkerSettings().limits(2, 64));
        List<CompletableFuture<HttpResponse<String>>> running =
                List.of(probe.send("GET", "/x?millis=3600000"), probe.send("GET", "/x?millis=3600000"));
        waitForStarted(2);
        HttpResponse<String> rejected = probe.call("GET", "/x", "", "Trefoilpost-Request-Id", "q3");
        assertEquals(503, rejected.statusCode());
        assertEquals(Optional.of("slots"), rejected.headers().firstValue("Worker-Not-Started"));
        assertEquals(Optional.of("q3"), rejected.headers().firstValue("Trefoilpost-Request-Id"));
        HttpResponse<String> late = probe.call("GET", "/x", "", "Trefoilpost-Deadline-Millis", "0");
        assertEquals(Optional.of("deadline"), late.headers().firstValue("Worker-Not-Started"));
        assertEquals(List.of("start 1", "request-start 1", "request-start 1"), events());
        assertEquals(
                409, probe.call("POST", "/control/reboot?incarnation=1", "").statusCode());
        assertTrue(running.stream().noneMatch(CompletableFuture::isDone));
    }

    @Test
    void brokenAnswerHasRun() throws IOException {
        start(new WorkerSettings());
        probe.faults("{'breakAnswers':1.0}");
        assertThrows(IOException.class, () -> probe.call("GET", "/x", ""));
        probe.faults("{'breakAnswers':0,'failFast':true}");
        HttpResponse<String> failed = probe.call("GET", "/x", "");
        assertEquals(500, failed.statusCode());
        assertEquals(Optional.empty(), failed.headers().firstValue("Worker-Not-Started"));
        assertEquals(2, events().stream().filter("request-end 1"::equals).count());
    }

    @Test
    void hangingWorkerRunsAndAnswersOnlyWhenReleased() throws IOException {
        start(new WorkerSettings());
        probe.faults("{'hang':true}");
        CompletableFuture<HttpResponse<String>> held = probe.send("GET", "/x");
        waitForStarted(1);
        assertFalse(held.isDone());
        probe.faults("{'hang':false}");
        assertEquals(200, held.join().statusCode());
    }

    @Test
    void leavingWorkerMarksItsAnswersAndTellsThePlatform() throws IOException {
        try (PlatformServer platform = PlatformServer.start(new PlatformSettings().listLagMillis(0))) {
            start(new WorkerSettings().platform(platform.endpoint()));
            CompletableFuture<HttpResponse<String>> running = probe.send("GET", "/x");
            assertEquals(Optional.empty(), running.join().headers().firstValue("Worker-Leaving"));
            probe.faults("{'hang':true}");
            running = probe.send("GET", "/x");
            waitForStarted(2);
            probe.faults("{'hang':false,'leaving':true}");
            HttpResponse<String> rejected = probe.call("GET", "/x", "");
            assertEquals(Optional.of("leaving"), rejected.headers().firstValue("Worker-Not-Started"));
            assertEquals(Optional.of("true"), rejected.headers().firstValue("Worker-Leaving"));
            assertEquals(200, running.join().statusCode());
            waitForState(platform, "leaving", 1);
        }
    }

    private static JsonNode waitForState(PlatformServer platform, String state, long incarnation) throws IOException {
        while (true) {
            JsonNode instance = Probe.of(platform.endpoint())
                    .json("/v1/instances")
                    .get("instances")
                    .path(0);
            if (instance.path("state").asText().equals(state)
                    && instance.path("incarnation").asLong() == incarnation) {
                return instance;
            }
            Thread.onSpinWait();
        }
    }

    @Test
    void rebootedWorkerComesBackOnItsEndpointWithAHigherIncarnation() throws IOException {
        try (PlatformServer platform = PlatformServer.start(new PlatformSettings().listLagMillis(0))) {
            start(new WorkerSettings().platform(platform.endpoint()));
            probe.faults("{'slowMillis':1}");
            assertEquals(
                    409, probe.call("POST", "/control/reboot?incarnation=1", "").statusCode());
            assertEquals(
                    202, probe.call("POST", "/control/stop?incarnation=1", "").statusCode());
            assertEquals(
                    202, probe.call("POST", "/control/reboot?incarnation=1", "").statusCode());
            JsonNode instance = waitForState(platform, "live", 2);
            assertEquals(server.endpoint().toString(), instance.get("endpoint").asText());
            assertEquals(200, probe.call("GET", "/x", "").statusCode());
            assertEquals(
                    List.of(
                            "start 1",
                            "stop 1",
                            "stopped 1",
                            "reboot 1",
                            "start 2",
                            "request-start 2",
                            "request-end 2"),
                    events());
        }
    }

    @Test
    void rebootingWorkerRefusesConnections() throws IOException {
        server = WorkerServer.start(new WorkerSettings().incarnation(1).times(0, 3_600_000));
        probe = Probe.of(server.endpoint());
        probe.call("POST", "/control/stop?incarnation=1", "");
        probe.call("POST", "/control/reboot?incarnation=1", "");
        boolean refused = false;
        while (!refused) {
            refused = refusesConnection();
        }
        assertTrue(refused);
    }

    /** Returns false also for a reset, which a connection gets that came while the listener closed. */
    private boolean refusesConnection() throws IOException {
        try (Socket accepted = connect()) {
            return !accepted.isConnected();
        } catch (ConnectException e) {
            return true;
        } catch (SocketException reset) {
            return false;
        }
    }

    @Test
    void connectionsOverTheLimitAreClosedAndClosedOnesMakeRoom() throws IOException {
        start(new WorkerSettings().limits(8, 2));
        List<Socket> sockets = List.of(connect(), connect(), connect(), connect());
        assertEquals(2, sockets.stream().filter(WorkerServerTest::answers).count());
        for (Socket socket : sockets) {
            socket.close();
        }
        waitForRoom();
    }

    private Socket connect() throws IOException {
        return new Socket(server.endpoint().host(), server.endpoint().port());
    }

    private static boolean answers(Socket socket) {
        try {
            socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: w\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().read() == 'H';
        } catch (IOException e) {
            return false;
        }
    }

    private void waitForRoom() throws IOException {
        int room = 0;
        while (room < 2) {
            try (Socket first = connect();
                    Socket second = connect()) {
                room = (answers(first) ? 1 : 0) + (answers(second) ? 1 : 0);
            }
        }
    }

    @Test
    void fleetTakesConsecutiveFreePortsAndNamesRacks() throws IOException {
        start(new WorkerSettings());
        int taken = server.endpoint().port();
        try (WorkerFleet fleet = WorkerFleet.start(new WorkerSettings().listen(server.endpoint()), 5, "w", 4)) {
            assertEquals("w-5", fleet.workers().get(4).id());
            int last = taken;
            for (WorkerServer worker : fleet.workers()) {
                assertTrue(worker.endpoint().port() > last);
                last = worker.endpoint().port();
            }
        }
    }
}
