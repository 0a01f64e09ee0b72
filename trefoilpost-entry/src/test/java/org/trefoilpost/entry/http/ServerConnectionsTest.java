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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ServerConnectionsTest {
    private static final byte[] GET_REQUEST = "GET / HTTP/1.1\r\nHost: any\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final String END_OF_HEADERS = "\r\n\r\n";
    private static final int REQUESTS = 3;
    private static final long FIRST_REQUEST_MILLIS = 20;

    private final ServerConnections connections = new ServerConnections();
    private HttpServerContext server;

    @BeforeEach
    void start() throws Exception {
        server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .transportObserver(connections.observer())
                .listenAndAwait((context, request, factory) -> {
                    connections.requestRead(context);
                    return Single.succeeded(factory.ok().setHeader("content-length", "0"));
                });
    }

    @AfterEach
    void stop() {
        server.closeAsync().subscribe();
    }

    /** Guards against keeping an object for each request as long as its connection is open. */
    @Test
    @Timeout(20)
    void connectionIsKeptOnceAndUntilItIsClosed() throws Exception {
        try (Socket caller = connect()) {
            for (int i = 0; i < REQUESTS; i++) {
                request(caller);
                assertEquals(1, connections.usedCount());
            }
        }
        while (connections.usedCount() > 0) {
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
            assertEquals(0, connections.usedCount());
        }
    }

    private Socket connect() throws Exception {
        return new Socket("127.0.0.1", ((InetSocketAddress) server.listenAddress()).getPort());
    }

    private static void request(Socket caller) throws Exception {
        caller.getOutputStream().write(GET_REQUEST);
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith(END_OF_HEADERS)) {
            response.append((char) caller.getInputStream().read());
        }
        assertTrue(response.toString().startsWith("HTTP/1.1 200 "), response::toString);
    }
}
