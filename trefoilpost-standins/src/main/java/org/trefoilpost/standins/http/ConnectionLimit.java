package org.trefoilpost.standins.http;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.ConnectionObserver;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import io.servicetalk.transport.api.TransportObserver;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the open connections of a listener and closes each new one over the limit.
 */
final class ConnectionLimit implements TransportObserver, LateConnectionAcceptor {
    private final AtomicInteger open = new AtomicInteger();
    private final int maxConnections;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    @Override
    public ConnectionObserver onNewConnection(Object localAddress, Object remoteAddress) {
        open.incrementAndGet();
        return new ConnectionObserver() {
            @Override
            public void connectionClosed(Throwable error) {
                open.decrementAndGet();
            }

            @Override
            public void connectionClosed() {
                open.decrementAndGet();
            }
        };
    }

    @Override
    @SuppressWarnings("deprecation")
    public Completable accept(ConnectionInfo info) {
        if (open.get() > maxConnections) {
            return Completable.failed(new IOException("more than " + maxConnections + " connections"));
        }
        return Completable.completed();
    }
}
