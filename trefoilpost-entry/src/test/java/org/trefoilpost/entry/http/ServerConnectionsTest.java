package org.trefoilpost.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.trefoilpost.entry.runtime.MillisClock;

class ServerConnectionsTest {
    private static final byte[] GET_REQUEST = "GET / HTTP/1.1\r\nHost: any\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] HOLD_REQUEST =
            "GET /hold HTTP/1.1\r\nHost: any\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long BUSY_MILLIS = 200;
    private static final String END_OF_HEADERS = "\r\n\r\n";
    private static final int REQUESTS = 3;
    private static final long FIRST_REQUEST_MILLIS = 20;

    private final ServerConnections connections = ServerConnections.of("test", MillisClock.steady());
    /** The requests that keep the thread busy, and the permits to answer them. */
    private final Semaphore held = new Semaphore(0);

    private final Semaphore release = new Semaphore(0);
    private HttpServerContext server;

    @BeforeEach
    void start() throws Exception {
        server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .ioExecutor(connections.thread())
                .transportObserver(connections.observer())
                .listenAndAwait((context, request, factory) -> {
                    if (request.path().equals("/hold")) {
                        held.release();
                        release.acquireUninterruptibly();
                    }
                    return Single.succeeded(factory.ok().setHeader("content-length", "0"));
                });
    }

    @AfterEach
    void stop() {
        connections.close(server);
    }

    /** Guards against keeping an object for each request, or for each connection after its first request or its end. */
    @Test
    @Timeout(20)
    void connectionIsKeptOnceAndUntilItIsUsedOrClosed() throws Exception {
        try (Socket unused = connect()) {
            assertTrue(unused.isConnected());
            try (Socket caller = connect()) {
                for (int i = 0; i < REQUESTS; i++) {
                    request(caller);
                    assertEquals(1, connections.unusedCount());
                }
            }
        }
        while (connections.unusedCount() > 0) {
            Thread.sleep(1);
        }
    }

    @Test
    @Timeout(20)
    void closesIdleAndUnusedConnections() throws Exception {
        try (Socket unused = connect();
                Socket used = connect()) {
            request(used);
            CompletableFuture<Void> closed = connections.closeGracefully(server, FIRST_REQUEST_MILLIS);
            for (Socket connection : List.of(used, unused)) {
                assertEquals(-1, connection.getInputStream().read());
                connection.close();
            }
            closed.get();
            assertEquals(0, connections.unusedCount());
        }
    }

    /** Guards against discarding what arrives while the thread is busy between its last look for input and the close. */
    @Test
    @Timeout(20)
    void requestsThatArriveWhileTheThreadIsBehindAreAnsweredBeforeTheClose() throws Exception {
        try (Socket first = connect();
                Socket second = connect();
                Socket idle = connect()) {
            for (Socket connection : List.of(first, second, idle)) {
                request(connection);
            }
            first.getOutputStream().write(HOLD_REQUEST);
            held.acquire();
            connections.closeGracefully(server, FIRST_REQUEST_MILLIS);
            second.getOutputStream().write(HOLD_REQUEST);
            release.release();
            // The thread has begun to look for input once more, and has found this request.
            held.acquire();
            try (Socket late = connect()) {
                idle.getOutputStream().write(GET_REQUEST);
                late.getOutputStream().write(GET_REQUEST);
                Thread.sleep(BUSY_MILLIS);
                release.release();
                readResponse(idle);
                readResponse(late);
            }
        } finally {
            release.release(REQUESTS);
        }
    }

    private Socket connect() throws Exception {
        return new Socket("127.0.0.1", ((InetSocketAddress) server.listenAddress()).getPort());
    }

    private static void request(Socket caller) throws Exception {
        caller.getOutputStream().write(GET_REQUEST);
        readResponse(caller);
    }

    private static void readResponse(Socket caller) throws Exception {
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith(END_OF_HEADERS)) {
            int next = caller.getInputStream().read();
            assertTrue(next >= 0, () -> "the connection ended after: " + response);
            response.append((char) next);
        }
        assertTrue(response.toString().startsWith("HTTP/1.1 200 "), response::toString);
    }
}
