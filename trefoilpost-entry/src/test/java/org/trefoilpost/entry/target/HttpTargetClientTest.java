package org.trefoilpost.entry.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.worker.WorkerServer;
import org.trefoilpost.standins.worker.WorkerSettings;

class HttpTargetClientTest {
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    private static final long WAIT_SECONDS = 20;

    private final HttpTargetClient client = HttpTargetClient.of(MAX_BUFFERED_BYTES);
    private WorkerServer worker;

    @BeforeEach
    void startWorker() throws Exception {
        worker = WorkerServer.start(new WorkerSettings().named("w-1", "r-1").placed("dc", "region"));
    }

    @AfterEach
    void close() throws Exception {
        client.close();
        worker.close();
    }

    @Test
    void returnsTheWholeResponse() throws Exception {
        TargetResponse answer = send("/quote?lot=1", 1).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(200, answer.status());
        assertTrue(new String(answer.body(), StandardCharsets.UTF_8).contains("\"x-1\""));
    }

    @Test
    void neverExceedsTheConnectionLimit() throws Exception {
        CompletableFuture<TargetResponse> first = send("/slow?millis=300", 1);
        assertEquals(TargetFailure.NO_FREE_CONNECTION, failure(send("/quote", 1)));
        first.get(WAIT_SECONDS, TimeUnit.SECONDS);
        send("/quote", 1).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void reportsNotConnectedWhenTheTargetIsDown() throws Exception {
        Endpoint endpoint = endpoint();
        worker.close();
        TargetFailure failure = failure(client.send(request("/quote", 1, endpoint)));
        assertEquals(TargetFailure.NOT_CONNECTED, failure);
    }

    @Test
    void reportsNotStartedForARejectedRequest() throws Exception {
        fault("{\"rejectAll\":true}");
        assertEquals(TargetFailure.NOT_STARTED, failure(send("/quote", 1)));
    }

    @Test
    void reportsThatATruncatedResponseMayHaveRun() throws Exception {
        fault("{\"breakAnswers\":1.0}");
        TargetFailure failure = failure(send("/quote?bytes=1000", 1));
        assertTrue(failure.mayHaveRun(), failure::toString);
    }

    @Test
    void streamsAResponseLargerThanTheBuffer() throws Exception {
        int bytes = 4 * MAX_BUFFERED_BYTES;
        TargetResponse answer = send("/list?bytes=" + bytes, 1).get(WAIT_SECONDS, TimeUnit.SECONDS);
        int received = answer.stream()
                .orElseThrow()
                .collect(() -> 0, (sum, buffer) -> sum + buffer.readableBytes())
                .toFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(bytes, received);
        send("/quote", 1).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void freesTheConnectionOfACancelledExchange() throws Exception {
        fault("{\"hang\":true}");
        CompletableFuture<TargetResponse> hanging = send("/quote", 1);
        Thread.sleep(200);
        hanging.cancel(true);
        fault("{\"hang\":false}");
        awaitFreeConnection();
    }

    private void awaitFreeConnection() throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (System.nanoTime() < endNanos) {
            try {
                send("/quote", 1).get(WAIT_SECONDS, TimeUnit.SECONDS);
                return;
            } catch (ExecutionException e) {
                Thread.sleep(20);
            }
        }
        throw new AssertionError("the connection of a cancelled exchange stays taken");
    }

    private CompletableFuture<TargetResponse> send(String path, int limit) {
        return client.send(request(path, limit, endpoint()));
    }

    private static TargetRequest request(String path, int limit, Endpoint endpoint) {
        return TargetRequest.builder()
                .exchangeId("x-1")
                .endpoint(endpoint)
                .connectionLimit(limit)
                .method("GET")
                .path(path)
                .timeoutMillis(10_000)
                .build();
    }

    private static TargetFailure failure(CompletableFuture<TargetResponse> answer) {
        ExecutionException e = assertThrows(ExecutionException.class, () -> answer.get(WAIT_SECONDS, TimeUnit.SECONDS));
        return ((TargetException) e.getCause()).failure();
    }

    private void fault(String switches) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + endpoint() + "/standin/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(switches))
                .build();
        int status = HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
        assertEquals(2, status / 100);
    }

    private Endpoint endpoint() {
        return worker.endpoint();
    }
}
