package org.trefoilpost.entry.target;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilpost.model.Endpoint;

/**
 * Target client over HTTP that limits the number of connections to each target. Safe for use by many threads.
 */
public final class HttpTargetClient implements TargetClient, AutoCloseable {
    private final int maxBufferedBytes;
    private final Map<Endpoint, TargetConnections> connections = new ConcurrentHashMap<>();

    private HttpTargetClient(int maxBufferedBytes) {
        this.maxBufferedBytes = maxBufferedBytes;
    }

    /**
     * Obtains a client without open connections.
     *
     * @param maxBufferedBytes  the maximum size in bytes of a response body that is buffered; a larger one is streamed,
     *     positive
     * @return the client, not null
     */
    public static HttpTargetClient of(int maxBufferedBytes) {
        return new HttpTargetClient(maxBufferedBytes);
    }

    @Override
    public CompletableFuture<TargetResponse> send(TargetRequest request) {
        TargetConnections target = connections.computeIfAbsent(request.endpoint(), TargetConnections::to);
        TargetExchange exchange = TargetExchange.of(request, target, maxBufferedBytes);
        exchange.start();
        return exchange.result();
    }

    @Override
    public void closeConnections(Endpoint endpoint) {
        TargetConnections target = connections.remove(endpoint);
        if (target != null) {
            target.close();
        }
    }

    /**
     * Closes all connections.
     */
    @Override
    public void close() {
        connections.keySet().forEach(this::closeConnections);
    }
}
