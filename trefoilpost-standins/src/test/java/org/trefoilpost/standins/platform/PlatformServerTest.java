package org.trefoilpost.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.trefoilpost.standins.http.Probe;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PlatformServerTest {
    private PlatformServer server;
    private Probe probe;

    private void start(PlatformSettings settings) throws IOException {
        server = PlatformServer.start(settings);
        probe = Probe.of(server.endpoint());
    }

    @AfterEach
    void close() {
        server.close();
    }

    private int put(String key, long expected, String value) throws IOException {
        return probe.call("PUT", "/v1/kv/" + key + "?expected=" + expected, value)
                .statusCode();
    }

    private static String revisionOf(HttpResponse<String> answer) {
        return answer.headers().firstValue("Kv-Revision").orElseThrow();
    }

    private void waitForWatches(int count) throws IOException {
        while (probe.json("/standin/counters").get("waitingWatches").asInt() != count) {
            Thread.onSpinWait();
        }
    }

    @Test
    void concurrentIncrementsAreAllCounted() throws IOException {
        start(new PlatformSettings());
        assertEquals(200, put("t/c/n", 0, "0"));
        List<CompletableFuture<Void>> threads = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            threads.add(CompletableFuture.runAsync(this::incrementTenTimes, task -> new Thread(task).start()));
        }
        threads.forEach(CompletableFuture::join);
        HttpResponse<String> last = probe.call("GET", "/v1/kv/t/c/n", "");
        assertEquals("80", last.body());
        assertEquals("81", revisionOf(last));
    }

    private void incrementTenTimes() {
        try {
            for (int done = 0; done < 10; ) {
                HttpResponse<String> read = probe.call("GET", "/v1/kv/t/c/n", "");
                String next = Integer.toString(Integer.parseInt(read.body()) + 1);
                done += put("t/c/n", Long.parseLong(revisionOf(read)), next) == 200 ? 1 : 0;
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void answersAsTheContractSays() throws IOException {
        start(new PlatformSettings());
        assertEquals("0", revisionOf(probe.call("GET", "/v1/kv/a", "")));
        assertEquals(404, probe.call("DELETE", "/v1/kv/a?expected=0", "").statusCode());
        assertEquals(400, probe.call("PUT", "/v1/kv/a", "x").statusCode());
        assertEquals(404, probe.call("PUT", "/v1/kv/a?expected=0&lease=9", "x").statusCode());
        assertEquals(413, put("a", 0, "x".repeat((1 << 20) + 1)));
        assertEquals(200, put("a", 0, "x".repeat(1 << 20)));
        HttpResponse<String> conflict = probe.call("DELETE", "/v1/kv/a?expected=7", "");
        assertEquals(409, conflict.statusCode());
        assertEquals("1", revisionOf(conflict));
        assertEquals(200, put("a", 1, "hi"));
        JsonNode entry = probe.json("/v1/keys?prefix=").get("entries").get(0);
        assertEquals("{\"key\":\"a\",\"revision\":2,\"value\":\"aGk=\"}", entry.toString());
        assertEquals("3", revisionOf(probe.call("DELETE", "/v1/kv/a?expected=2", "")));
        assertEquals(
                0, probe.json("/v1/watch?prefix=&after=3&wait=1").get("entries").size());
        HttpResponse<String> lease = probe.call("POST", "/v1/leases?ttl=60000", "");
        assertEquals("{\"lease\":1,\"ttl\":60000}", lease.body());
        assertEquals(200, probe.call("PUT", "/v1/kv/b?expected=0&lease=1", "x").statusCode());
        assertEquals(204, probe.call("PUT", "/v1/leases/1", "").statusCode());
        assertEquals(204, probe.call("DELETE", "/v1/leases/1", "").statusCode());
        assertEquals(404, probe.call("PUT", "/v1/leases/1", "").statusCode());
        assertEquals(404, probe.call("GET", "/v1/kv/b", "").statusCode());
    }

    @Test
    void lostAnswerHasTakenEffectAndReadsAreSpared() throws IOException {
        start(new PlatformSettings());
        probe.faults("{'loseAnswers':1.0,'seed':1}");
        assertThrows(IOException.class, () -> put("a", 0, "x"));
        assertEquals("1", revisionOf(probe.call("GET", "/v1/kv/a", "")));
        probe.faults("{'loseAnswers':0}");
        assertEquals(409, put("a", 0, "x"));
    }

    @Test
    void delayedWriteLandsAfterItsCallerHasGivenUp() throws IOException {
        start(new PlatformSettings());
        probe.faults("{'delayWritesMillis':3600000}");
        assertThrows(IOException.class, () -> put("a", 0, "late"));
        assertEquals(404, probe.call("GET", "/v1/kv/a", "").statusCode());
        probe.faults("{'delayWritesMillis':1}");
        assertThrows(IOException.class, () -> put("b", 0, "soon"));
        JsonNode changes = probe.json("/v1/watch?prefix=&after=0&wait=3600000");
        assertEquals("b", changes.get("entries").get(0).get("key").asText());
    }

    @Test
    void ratesCountEachCallAndAWaitingWatchOnce() throws IOException {
        start(new PlatformSettings().rates(0.001, 0.001));
        assertEquals(200, put("a", 0, "x"));
        HttpResponse<String> rejected = probe.call("PUT", "/v1/kv/a?expected=1", "y");
        assertEquals(429, rejected.statusCode());
        assertTrue(rejected.headers().firstValueAsLong("Retry-After").orElseThrow() > 900);
        CompletableFuture<HttpResponse<String>> watch = probe.send("GET", "/v1/watch?prefix=&after=1&wait=3600000");
        waitForWatches(1);
        assertEquals(429, probe.call("GET", "/v1/kv/a", "").statusCode());
        assertFalse(watch.isDone());
        JsonNode total = probe.json("/standin/counters").get("total");
        assertEquals(2, total.get("writes").asInt());
        assertEquals(1, total.get("reads").asInt());
        assertEquals(1, total.get("watches").asInt());
        assertEquals(2, total.get("rejected").asInt());
    }

    @Test
    void countsBytesByTwoSegments() throws IOException {
        start(new PlatformSettings());
        put("t/a/1", 0, "xyz");
        put("t/a/2", 0, "x");
        probe.call("GET", "/v1/kv/t/a/1", "");
        JsonNode counts = probe.json("/standin/counters").get("prefixes").get("t/a");
        assertEquals(4, counts.get("bytesIn").asInt());
        assertEquals(3, counts.get("bytesOut").asInt());
    }

    @Test
    void outageEndsWatchesAndKeepsTheStore() throws IOException {
        start(new PlatformSettings());
        put("a", 0, "x");
        CompletableFuture<HttpResponse<String>> watch = probe.send("GET", "/v1/watch?prefix=&after=1&wait=3600000");
        waitForWatches(1);
        probe.faults("{'down':true}");
        assertEquals(503, watch.join().statusCode());
        assertEquals(503, put("a", 1, "y"));
        probe.faults("{'down':false}");
        assertEquals("x", probe.call("GET", "/v1/kv/a", "").body());
    }

    @Test
    void restoreGoesBackToTheSnapshot() throws IOException {
        start(new PlatformSettings());
        put("a", 0, "old");
        assertEquals(
                204,
                probe.call("POST", "/standin/snapshot", "{\"snapshot\":\"s\"}").statusCode());
        put("a", 1, "new");
        assertEquals(
                404,
                probe.call("POST", "/standin/restore", "{\"snapshot\":\"t\"}").statusCode());
        assertEquals(
                204,
                probe.call("POST", "/standin/restore", "{\"snapshot\":\"s\"}").statusCode());
        HttpResponse<String> read = probe.call("GET", "/v1/kv/a", "");
        assertEquals("old", read.body());
        assertEquals("1", revisionOf(read));
    }
}
