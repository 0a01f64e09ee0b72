package org.trefoilpost.entry.http;

import io.servicetalk.transport.api.ConnectionObserver;
import java.util.concurrent.CompletableFuture;

/**
 * Notices the first input of a connection, or its end.
 */
final class FirstReadObserver implements ConnectionObserver {
    private final CompletableFuture<Void> used;

    /**
     * Constructor.
     *
     * @param used  is completed once something has been read, or the connection has ended, not null
     */
    FirstReadObserver(CompletableFuture<Void> used) {
        this.used = used;
    }

    @Override
    public void onDataRead(int size) {
        used.complete(null);
    }

    @Override
    public void connectionClosed() {
        used.complete(null);
    }

    @Override
    public void connectionClosed(Throwable error) {
        used.complete(null);
    }
}
