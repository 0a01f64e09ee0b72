package org.trefoilpost.entry.target;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilpost.model.Endpoint;

/**
 * Target client over HTTP, with a capped number of connections to each target.
 */
public final class HttpTargetClient implements TargetClient, AutoCloseable {
    private final int maxBufferedBytes;
    private final Map<Endpoint, TargetConnections> connections = new ConcurrentHashMap<>();

    private HttpTargetClient(int heldBytes) {
        this.maxBufferedBytes = heldBytes;
    }

    /**
     * Obtains a client without connections.
     *
     * @param heldBytes  the most bytes of an answer that are held before it is streamed, positive
     * @return the client, not null
     */
    public static HttpTargetClient of(int heldBytes) {
        return new HttpTargetClient(heldBytes);
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
