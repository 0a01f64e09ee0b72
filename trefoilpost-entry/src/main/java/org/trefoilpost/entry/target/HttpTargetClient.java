package org.trefoilpost.entry.target;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilpost.model.Endpoint;

/**
 * Target client over HTTP, with a capped number of connections to each target.
 */
public final class HttpTargetClient implements TargetClient, AutoCloseable {
    private final int heldBytes;
    private final Map<Endpoint, TargetConnections> connections = new ConcurrentHashMap<>();

    private HttpTargetClient(int heldBytes) {
        this.heldBytes = heldBytes;
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
    public CompletableFuture<TargetAnswer> send(TargetRequest request) {
        TargetConnections target = connections.computeIfAbsent(request.endpoint(), TargetConnections::to);
        TargetExchange exchange = TargetExchange.of(request, target, heldBytes);
        exchange.start();
        return exchange.answer();
    }

    @Override
    public void forget(Endpoint endpoint) {
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
        connections.keySet().forEach(this::forget);
    }
}
