package org.trefoilpost.standins.http;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the accepted connections of a listener and closes each new one over the limit.
 */
final class ConnectionLimit implements LateConnectionAcceptor {
    private final AtomicInteger open = new AtomicInteger();
    private final int maxConnections;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    @Override
    public Completable accept(ConnectionContext connection) {
        if (open.incrementAndGet() > maxConnections) {
            open.decrementAndGet();
            return Completable.failed(new IOException("more than " + maxConnections + " connections"));
        }
        connection.onClose().whenFinally(open::decrementAndGet).subscribe();
        return Completable.completed();
    }

    @Override
    @SuppressWarnings("deprecation")
    public Completable accept(ConnectionInfo info) {
        return Completable.failed(new IOException("a connection that does not tell its end can't be counted"));
    }
}
