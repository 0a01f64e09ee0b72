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
 * <p>Connecting is apart from sending, so that a failure to connect is known to have sent nothing.
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
     * Obtains the connections to a target; none is open at first.
     *
     * @param endpoint  the target's endpoint, not null
     * @return the connections, not null
     */
    static TargetConnections to(Endpoint endpoint) {
        return new TargetConnections(endpoint);
    }

    /**
     * Takes an idle connection, or opens one within the limit.
     *
     * @param limit  the most connections to the target, positive
     * @return the connection, not null; fails with a {@link TargetException}
     */
    CompletableFuture<ReservedStreamingHttpConnection> acquire(int limit) {
        ConnectionPool.Acquisition<ReservedStreamingHttpConnection> place = pool.acquire(limit);
        return switch (place.kind()) {
            case IDLE -> CompletableFuture.completedFuture(place.connection().orElseThrow());
            case PERMIT -> connect();
            case FULL ->
                failed(TargetFailure.NO_FREE_CONNECTION, limit + " connections to " + endpoint + " are in use");
            case CLOSED -> failed(TargetFailure.NOT_CONNECTED, "the connections to " + endpoint + " are closed");
        };
    }

    /**
     * Gives back a connection whose exchange has ended with its whole answer.
     *
     * @param connection  the connection, not null
     */
    void release(ReservedStreamingHttpConnection connection) {
        if (!pool.release(connection)) {
            discard(connection);
        }
    }

    /**
     * Closes a connection whose exchange has failed.
     *
     * @param connection  the connection, not null
     */
    void discard(ReservedStreamingHttpConnection connection) {
        connection.closeAsync().subscribe();
    }

    /**
     * Closes all connections once their exchanges have ended.
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
