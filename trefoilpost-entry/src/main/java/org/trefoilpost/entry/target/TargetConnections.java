package org.trefoilpost.entry.target;

import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.http.HttpClientFactory;
import org.trefoilpost.model.Endpoint;

/**
 * The connections of this entry to one target, each carrying one exchange at a time.
 *
 * <p>Connecting is separate from sending, so that after a failure to connect it is certain that nothing was sent.
 */
final class TargetConnections {
    private final Endpoint endpoint;
    private final StreamingHttpClient client;
    private final ConnectionPool<ReservedStreamingHttpConnection> pool = new ConnectionPool<>();

    private TargetConnections(Endpoint endpoint) {
        this.endpoint = endpoint;
        this.client = HttpClientFactory.create(endpoint);
    }

    /**
     * Obtains the connections to a target, none of which is open yet.
     *
     * @param endpoint  the target's endpoint, not null
     * @return the connections, not null
     */
    static TargetConnections to(Endpoint endpoint) {
        return new TargetConnections(endpoint);
    }

    /**
     * Acquires an idle connection, or opens one within the limit.
     *
     * @param limit  the maximum number of connections to the target, positive
     * @return the future connection, which fails with a {@link TargetException}, not null
     */
    CompletableFuture<ReservedStreamingHttpConnection> acquire(int limit) {
        ConnectionPool.Acquisition<ReservedStreamingHttpConnection> acquisition = pool.acquire(limit);
        return switch (acquisition.kind()) {
            case IDLE ->
                CompletableFuture.completedFuture(acquisition.connection().orElseThrow());
            case PERMIT -> connect();
            case FULL ->
                failed(TargetFailure.NO_FREE_CONNECTION, limit + " connections to " + endpoint + " are in use");
            case CLOSED -> failed(TargetFailure.NOT_CONNECTED, "the connections to " + endpoint + " are closed");
        };
    }

    /**
     * Releases a connection whose exchange has received its complete response, for reuse.
     *
     * @param connection  the connection, not null
     */
    void release(ReservedStreamingHttpConnection connection) {
        if (!pool.release(connection)) {
            discard(connection);
        }
    }

    /**
     * Closes a connection that cannot be reused because its exchange has failed.
     *
     * @param connection  the connection, not null
     */
    void discard(ReservedStreamingHttpConnection connection) {
        connection.closeAsync().subscribe();
    }

    /**
     * Closes all connections gracefully, after their exchanges have ended.
     */
    void close() {
        pool.close();
        client.closeAsyncGracefully().subscribe();
    }

    private CompletableFuture<ReservedStreamingHttpConnection> connect() {
        CompletableFuture<ReservedStreamingHttpConnection> connected = new CompletableFuture<>();
        client.reserveConnection(client.get("/")).toCompletionStage().whenComplete((connection, failure) -> {
            if (failure != null) {
                pool.discard(Optional.empty());
                connected.completeExceptionally(
                        TargetException.of(TargetFailure.NOT_CONNECTED, "no connection to " + endpoint, failure));
                return;
            }
            connection
                    .onClose()
                    .whenFinally(() -> pool.discard(Optional.of(connection)))
                    .subscribe();
            connected.complete(connection);
        });
        return connected;
    }

    private static CompletableFuture<ReservedStreamingHttpConnection> failed(TargetFailure failure, String message) {
        return CompletableFuture.failedFuture(TargetException.of(failure, message, null));
    }
}
