package org.trefoilpost.entry.http;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.IoExecutor;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The open connections over which a request has been read.
 */
final class UsedConnections {
    /** Long enough for the thread of a connection to look for what has arrived on it. */
    private static final long READ_PASS_MILLIS = 1;

    private final Set<ConnectionContext> open = ConcurrentHashMap.newKeySet();

    /**
     * Adds a connection, unless it is known already. It is removed when it is closed.
     */
    void add(ConnectionContext connection) {
        if (open.add(connection)) {
            connection.onClose().afterFinally(() -> open.remove(connection)).subscribe();
        }
    }

    int count() {
        return open.size();
    }

    /**
     * Closes each connection gracefully, once what has arrived on it was read: input that is unread when the close
     * begins is discarded, and the thread of the connection may be behind with reading.
     *
     * @return completes when the close of each connection has begun, not null
     */
    CompletableFuture<Void> closeGracefully() {
        return CompletableFuture.allOf(
                open.stream().map(UsedConnections::closeAfterReadPass).toArray(CompletableFuture[]::new));
    }

    private static CompletableFuture<Void> closeAfterReadPass(ConnectionContext connection) {
        IoExecutor thread = connection.executionContext().ioExecutor();
        // The timer must start on the thread itself: one that ends while the thread is busy fires before the next read.
        Completable begun = thread.submit(() -> {})
                .concat(thread.timer(READ_PASS_MILLIS, TimeUnit.MILLISECONDS))
                .afterOnComplete(() -> connection.closeAsyncGracefully().subscribe());
        return begun.toCompletionStage().toCompletableFuture();
    }
}
