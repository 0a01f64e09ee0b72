package org.trefoilpost.entry.http;

import io.servicetalk.transport.api.ConnectionObserver;
import io.servicetalk.transport.api.TransportObserver;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The accepted connections from which nothing has been read yet. Their first request is on its way, so they are not idle.
 */
final class NewConnections implements TransportObserver {
    private final Set<CompletableFuture<Void>> unused = ConcurrentHashMap.newKeySet();

    @Override
    public ConnectionObserver onNewConnection(Object localAddress, Object remoteAddress) {
        CompletableFuture<Void> used = new CompletableFuture<>();
        unused.add(used);
        return new UseObserver(used);
    }

    /**
     * Returns when there is no new connection left: something has been read from each one, or it was closed.
     *
     * @return completes on the thread that reads, before what was read is handled, not null
     */
    CompletableFuture<Void> allUsed() {
        CompletableFuture<?>[] present = unused.toArray(CompletableFuture[]::new);
        return present.length == 0
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.allOf(present).thenCompose(ignored -> allUsed());
    }

    private final class UseObserver implements ConnectionObserver {
        private final CompletableFuture<Void> used;

        private UseObserver(CompletableFuture<Void> used) {
            this.used = used;
        }

        @Override
        public void onDataRead(int size) {
            complete();
        }

        @Override
        public void connectionClosed() {
            complete();
        }

        @Override
        public void connectionClosed(Throwable error) {
            complete();
        }

        private void complete() {
            if (!used.isDone()) {
                unused.remove(used);
                used.complete(null);
            }
        }
    }
}
