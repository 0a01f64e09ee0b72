package org.trefoilpost.entry.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;
import org.trefoilpost.model.verdict.VerdictKind;

class CallerServerTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int NEW_CONNECTIONS = 64;
    private static final Duration WAIT = Duration.ofSeconds(20);

    private static final byte[] GET_REQUEST =
            "GET /pricing/x HTTP/1.1\r\nHost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String BODY = "\r\n\r\nok";
    /** As long as a request takes to arrive after its connection. */
    private static final long FIRST_REQUEST_DELAY_MILLIS = 10;

    /** Long enough for a close to be waiting for the thread of a connection. */
    private static final long CLOSE_DELAY_MILLIS = 300;

    private final EntryMetrics metrics = EntryMetrics.create();
    private final AtomicInteger submitted = new AtomicInteger();
    private final HttpClient http = HttpClient.newHttpClient();
    private CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
    private Optional<RefusalReason> closed = Optional.empty();
    private CallerRequest last;
    private volatile Thread thread;
    private volatile CountDownLatch held = new CountDownLatch(0);
    private CallerServer server;

    @BeforeEach
    void start() throws Exception {
        server = CallerServer.start(Endpoint.of("127.0.0.1", 0), new Gateway(), metrics, MillisClock.steady());
        outcome.complete(RequestOutcome.answered(
                TargetResponse.whole(201, List.of(Map.entry("X-Lot", "7")), new byte[] {'o', 'k'})));
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @Test
    void forwardsTheRequestAndTheWholeResponse() throws Exception {
        HttpResponse<String> response = send(request("/pricing/quote?lot=1").header("Accept", "a/b"));
        assertEquals(201, response.statusCode());
        assertEquals("ok", response.body());
        assertEquals("answered", header(response, "Trefoilpost-Verdict"));
        assertEquals("7", header(response, "X-Lot"));
        assertEquals("/quote?lot=1", last.path());
        assertTrue(last.repeatable());
        assertTrue(last.headers().stream().anyMatch(header -> header.getValue().equals("a/b")));
    }

    @ParameterizedTest
    @CsvSource({
        "/Nowhere!/x, , , 400, malformed",
        "/nowhere/x, , , 404, unknown-pool",
        "/, , , 400, malformed",
        "/pricing/x, Trefoilpost-Deadline-Millis, soon, 400, malformed",
        "/pricing/x, Trefoilpost-Deadline-Millis, 0, 504, deadline-past",
        "/pricing/x, Trefoilpost-Class, hasty, 400, malformed",
        "/pricing/x, Trefoilpost-Repeatable, maybe, 400, malformed",
        "/pricing/x, Trefoilpost-Team, No Such!, 400, malformed",
        "/pricing/x, Idempotency-Key, with space, 400, malformed"
    })
    void refusesBadInputAndCountsIt(String path, String name, String value, int status, String reason)
            throws Exception {
        HttpRequest.Builder request = request(path);
        if (name != null) {
            request.header(name, value);
        }
        HttpResponse<String> response = send(request);
        assertEquals(status, response.statusCode());
        assertEquals("not-run", header(response, "Trefoilpost-Verdict"));
        assertEquals(reason, header(response, "Trefoilpost-Reason"));
        assertEquals("1", header(response, "Retry-After"));
        assertTrue(response.body().contains("\"detail\""), response::body);
        assertEquals(0, submitted.get());
        assertTrue(metrics.scrape().contains("reason=\"" + reason + "\"} 1.0"));
    }

    @Test
    void refusesALargeBodyWithAndWithoutALength() throws Exception {
        byte[] body = new byte[MAX_BODY_BYTES + 1];
        HttpRequest.BodyPublisher chunked =
                HttpRequest.BodyPublishers.ofInputStream(() -> new java.io.ByteArrayInputStream(body));
        for (HttpRequest.BodyPublisher publisher : List.of(HttpRequest.BodyPublishers.ofByteArray(body), chunked)) {
            HttpResponse<String> response = send(request("/pricing/x").POST(publisher));
            assertEquals(413, response.statusCode());
            assertEquals("body-too-large", header(response, "Trefoilpost-Reason"));
        }
        assertEquals(0, submitted.get());
    }

    @Test
    void refusesWithTheGatewaysReason() throws Exception {
        closed = Optional.of(RefusalReason.SHUTTING_DOWN);
        HttpResponse<String> response = send(request("/pricing/x"));
        assertEquals(503, response.statusCode());
        assertEquals("shutting-down", header(response, "Trefoilpost-Reason"));
    }

    @Test
    void writesRefusedAndUncertainOutcomes() throws Exception {
        outcome = CompletableFuture.completedFuture(
                RequestOutcome.of(Verdict.notRun(RefusalReason.QUEUE_FULL, Duration.ofMillis(2_100))));
        HttpResponse<String> refused = send(request("/pricing/x"));
        assertEquals("3", header(refused, "Retry-After"));
        assertEquals("queue-full", header(refused, "Trefoilpost-Reason"));
        outcome = CompletableFuture.completedFuture(
                RequestOutcome.of(Verdict.mayHaveRun(UncertaintyReason.DEADLINE_PASSED)));
        HttpResponse<String> doubtful = send(request("/pricing/x"));
        assertEquals(504, doubtful.statusCode());
        assertEquals("may-have-run", header(doubtful, "Trefoilpost-Verdict"));
        assertTrue(doubtful.headers().firstValue("Retry-After").isEmpty());
    }

    @Test
    void neverReportsNotRunOnceTheRequestWasSubmitted() throws Exception {
        outcome = CompletableFuture.completedFuture(
                RequestOutcome.answered(TargetResponse.whole(200, List.of(Map.entry("Bad\nName", "x")), new byte[0])));
        HttpResponse<String> response = send(request("/pricing/x"));
        assertEquals(VerdictKind.MAY_HAVE_RUN.code(), header(response, "Trefoilpost-Verdict"));
    }

    @Test
    void closesTheConnectionWhenTheStreamFails() {
        Buffer start = BufferAllocators.PREFER_HEAP_ALLOCATOR.wrap(new byte[100]);
        Publisher<Buffer> broken = Publisher.from(start).concat(Publisher.failed(new IOException("lost")));
        outcome = CompletableFuture.completedFuture(
                RequestOutcome.answered(TargetResponse.streamed(200, List.of(), broken)));
        assertThrows(IOException.class, () -> send(request("/pricing/x")));
    }

    @Test
    void cancelsTheRequestWhenTheCallerDisconnects() throws Exception {
        outcome = new CompletableFuture<>();
        try (Socket caller = new Socket("127.0.0.1", server.endpoint().port())) {
            caller.getOutputStream()
                    .write("GET /pricing/x HTTP/1.1\r\nHost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            while (submitted.get() == 0) {
                Thread.sleep(5);
            }
        }
        long endNanos = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!outcome.isCancelled()) {
            assertTrue(System.nanoTime() < endNanos, "the request was not cancelled");
            Thread.sleep(5);
        }
    }

    @Test
    void answersAPendingRequestDuringAGracefulClose() throws Exception {
        outcome = new CompletableFuture<>();
        CompletableFuture<HttpResponse<String>> pending =
                http.sendAsync(request("/pricing/x").build(), HttpResponse.BodyHandlers.ofString());
        await(() -> submitted.get() == 1);
        CompletableFuture<Void> closing = CompletableFuture.runAsync(() -> server.closeGracefully(WAIT));
        assertThrows(TimeoutException.class, () -> outcome.get(300, TimeUnit.MILLISECONDS), "cancelled by the close");
        outcome.complete(RequestOutcome.answered(TargetResponse.whole(201, List.of(), new byte[] {'o', 'k'})));
        assertEquals(201, pending.get(WAIT.toSeconds(), TimeUnit.SECONDS).statusCode());
        closing.get(WAIT.toSeconds(), TimeUnit.SECONDS);
    }

    /** Guards against discarding a request that arrives while its thread is busy, just before its idle connection is closed. */
    @Test
    @Timeout(20)
    void answersARequestThatHasArrivedOnAnIdleConnectionBeforeTheClose() throws Exception {
        Map<Thread, Socket> connections = new HashMap<>();
        Socket idle = usedConnection();
        while (connections.putIfAbsent(thread, idle) == null) {
            idle = usedConnection();
        }
        Socket busy = connections.get(thread);
        int before = submitted.get();
        held = new CountDownLatch(1);
        busy.getOutputStream().write(GET_REQUEST);
        await(() -> submitted.get() > before);
        idle.getOutputStream().write(GET_REQUEST);
        CompletableFuture<Void> closing = CompletableFuture.runAsync(() -> server.closeGracefully(WAIT));
        Thread.sleep(CLOSE_DELAY_MILLIS);
        held.countDown();
        for (Socket connection : List.of(busy, idle)) {
            String response = new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(response.startsWith("HTTP/1.1 201 "), response);
        }
        idle.close();
        for (Socket connection : connections.values()) {
            connection.close();
        }
        closing.get(WAIT.toSeconds(), TimeUnit.SECONDS);
    }

    /** Guards against closing a connection as idle between its opening and the arrival of its first request. */
    @Test
    @Timeout(20)
    void answersTheFirstRequestOfAConnectionThatWasJustOpened() throws Exception {
        Socket opened = connect();
        // A request over a later connection is read only once the earlier one has been accepted.
        usedConnection().close();
        CompletableFuture<Void> closing = CompletableFuture.runAsync(() -> server.closeGracefully(WAIT));
        Thread.sleep(FIRST_REQUEST_DELAY_MILLIS);
        opened.getOutputStream().write(GET_REQUEST);
        String response = new String(opened.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(response.startsWith("HTTP/1.1 201 "), response);
        opened.close();
        closing.get(WAIT.toSeconds(), TimeUnit.SECONDS);
    }

    /**
     * Guards against losing requests over connections that are established and wait to be accepted as the close begins,
     * because the threads are behind.
     */
    @Test
    @Timeout(30)
    void answersConnectionsThatWaitToBeAcceptedBeforeTheClose() throws Exception {
        List<Socket> busy = keepAllThreadsBusy();
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < NEW_CONNECTIONS; i++) {
            Socket connection = connect();
            connection.getOutputStream().write(GET_REQUEST);
            waiting.add(connection);
        }
        CompletableFuture<Void> closing = CompletableFuture.runAsync(() -> server.closeGracefully(WAIT));
        Thread.sleep(CLOSE_DELAY_MILLIS);
        held.countDown();
        for (Socket connection : waiting) {
            String response = new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(response.startsWith("HTTP/1.1 201 "), response);
            connection.close();
        }
        for (Socket connection : busy) {
            connection.close();
        }
        closing.get(WAIT.toSeconds(), TimeUnit.SECONDS);
    }

    /**
     * Keeps each thread busy with a request until requests are no longer held.
     *
     * @return the connections of the requests, not null
     */
    private List<Socket> keepAllThreadsBusy() throws Exception {
        held = new CountDownLatch(1);
        List<Socket> connections = new ArrayList<>();
        int known;
        do {
            known = submitted.get();
            Socket connection = connect();
            connection.getOutputStream().write(GET_REQUEST);
            connections.add(connection);
            Thread.sleep(CLOSE_DELAY_MILLIS);
        } while (submitted.get() > known);
        return connections;
    }

    /** Returns a connection over which one request has been answered. */
    private Socket usedConnection() throws IOException {
        Socket connection = connect();
        connection.getOutputStream().write(GET_REQUEST);
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith(BODY)) {
            response.append((char) connection.getInputStream().read());
        }
        return connection;
    }

    private Socket connect() throws IOException {
        return new Socket("127.0.0.1", server.endpoint().port());
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, "condition not met within the timeout");
            Thread.sleep(5);
        }
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + server.endpoint() + path));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    /**
     * Gateway that returns the same outcome for every request.
     */
    private final class Gateway implements RequestGateway {
        @Override
        public Optional<RefusalReason> refusalReason() {
            return closed;
        }

        @Override
        public Optional<PoolSettings> poolSettings(PoolName pool) {
            return Optional.of(pool)
                    .filter(name -> name.text().equals("pricing"))
                    .map(name -> PoolSettings.builder(name)
                            .budget(AvailabilityBudget.of(0, FailureDomain.NONE))
                            .maxBodyBytes(MAX_BODY_BYTES)
                            .build());
        }

        @Override
        public CompletableFuture<RequestOutcome> submit(CallerRequest request) {
            last = request;
            thread = Thread.currentThread();
            submitted.incrementAndGet();
            try {
                held.await();
            } catch (InterruptedException e) {
                return CompletableFuture.failedFuture(e);
            }
            return outcome;
        }
    }
}
