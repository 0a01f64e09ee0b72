package org.trefoilpost.entry.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.Endpoint;

class OperatorServerTest {
    private static final byte[] GET_REQUEST =
            "GET /live HTTP/1.1\r\nHost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String BODY = "\r\n\r\nlive\n";
    private static final int NEW_CONNECTIONS = 64;
    private static final long LONG_WAIT_MILLIS = 15_000;
    /** As long as a call takes to arrive after its connection. */
    private static final long FIRST_CALL_DELAY_MILLIS = 10;

    /** Long enough for a close to be waiting for the thread of a connection. */
    private static final long CLOSE_DELAY_MILLIS = 300;

    private final AtomicInteger calls = new AtomicInteger();
    private volatile CountDownLatch held = new CountDownLatch(0);
    private OperatorServer server;

    @BeforeEach
    void start() throws Exception {
        server = OperatorServer.start(
                Endpoint.of("127.0.0.1", 0),
                List.of(request -> Optional.of(live())),
                EntryMetrics.create(),
                MillisClock.steady());
    }

    @AfterEach
    void stop() {
        server.close();
    }

    /** Guards against closing a connection as idle between its opening and the arrival of its first call. */
    @Test
    @Timeout(20)
    void answersTheFirstCallOfAConnectionThatWasJustOpened() throws Exception {
        CompletableFuture<Void> closing;
        try (Socket opened = connect()) {
            // A call over a later connection is read only once the earlier one has been accepted.
            usedConnection().close();
            closing = CompletableFuture.runAsync(() -> server.close(LONG_WAIT_MILLIS));
            Thread.sleep(FIRST_CALL_DELAY_MILLIS);
            opened.getOutputStream().write(GET_REQUEST);
            assertAnswered(opened);
        }
        // The close waits for the end of open connections.
        closing.get();
    }

    /**
     * Guards against losing calls over connections that are established and wait to be accepted as the close begins, because
     * the threads are behind.
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
        CompletableFuture<Void> closing = CompletableFuture.runAsync(() -> server.close(LONG_WAIT_MILLIS));
        Thread.sleep(CLOSE_DELAY_MILLIS);
        held.countDown();
        for (Socket connection : waiting) {
            assertAnswered(connection);
            connection.close();
        }
        for (Socket connection : busy) {
            connection.close();
        }
        closing.get();
    }

    /** Guards against waiting for the first call of a connection that is only kept open. */
    @Test
    @Timeout(20)
    void closesAConnectionThatStaysUnused() throws Exception {
        try (Socket unused = connect()) {
            usedConnection().close();
            server.close();
            assertEquals(-1, unused.getInputStream().read());
        }
    }

    /**
     * Keeps each thread busy with a call until calls are no longer held.
     *
     * @return the connections of the calls, not null
     */
    private List<Socket> keepAllThreadsBusy() throws Exception {
        held = new CountDownLatch(1);
        List<Socket> connections = new ArrayList<>();
        int known;
        do {
            known = calls.get();
            Socket connection = connect();
            connection.getOutputStream().write(GET_REQUEST);
            connections.add(connection);
            Thread.sleep(CLOSE_DELAY_MILLIS);
        } while (calls.get() > known);
        return connections;
    }

    /** Asserts that a call is answered, by its operation or with a refusal, before the connection ends. */
    private static void assertAnswered(Socket connection) throws IOException {
        String response = new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(response.startsWith("HTTP/1.1 200 ") || response.contains("shutting-down"), response);
    }

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

    private CompletableFuture<OperatorResponse> live() {
        calls.incrementAndGet();
        try {
            held.await();
        } catch (InterruptedException e) {
            return CompletableFuture.failedFuture(e);
        }
        return CompletableFuture.completedFuture(OperatorResponse.text(200, "live\n"));
    }
}
