package org.trefoilpost.entry.http;

import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.TransportObserver;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The connections of a listener, which it closes without losing the requests that have arrived on them.
 *
 * <p>Safe for use by several threads.
 */
public final class ServerConnections {
    private final NewConnections newConnections = new NewConnections();
    private final UsedConnections usedConnections = new UsedConnections();

    /**
     * Returns the observer of the listener's transport, to be set when the listener is built.
     *
     * @return the observer, not null
     */
    public TransportObserver observer() {
        return newConnections;
    }

    /**
     * Records that a request has been read. To be called for each request, before it is handled.
     *
     * @param connection  the connection of the request, not null
     */
    public void requestRead(ConnectionContext connection) {
        usedConnections.add(connection);
    }

    /**
     * Returns the number of open connections over which a request has been read.
     */
    int usedCount() {
        return usedConnections.count();
    }

    /**
     * Waits for the first requests of the connections that were opened just now, since connections without a request are
     * closed, and for what has arrived on the others to be read. Then accepts no new connections and closes once the
     * requests in flight are answered.
     *
     * @param server  the listener, not null
     * @param firstRequestMillis  how long to wait for first requests, in milliseconds
     * @return completes once all connections are closed, not null
     */
    public CompletableFuture<Void> closeGracefully(HttpServerContext server, long firstRequestMillis) {
        // Closing on the thread that reads a first request would close its connection before the request is handled.
        return newConnections
                .allUsed()
                .completeOnTimeout(null, firstRequestMillis, TimeUnit.MILLISECONDS)
                .thenComposeAsync(ignored -> usedConnections.closeGracefully())
                .thenCompose(ignored -> server.closeAsyncGracefully().toCompletionStage());
    }
}
