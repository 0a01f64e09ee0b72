package org.trefoilpost.standins.relay;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.jboss.logging.Logger;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.HttpCall;
import org.trefoilpost.standins.http.HttpListener;
import org.trefoilpost.standins.http.Json;

/**
 * A running relay.
 */
public final class RelayServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(RelayServer.class);
    private static final int CONTROL_CONNECTIONS = 100;

    /** Names the share of the open connections that go silent until they are closed. */
    private static final String SILENCED_SHARE = "silencedShare";

    private final Endpoint target;
    private final AsynchronousServerSocketChannel server;
    private final HttpListener control;
    private final Set<RelayLink> links = ConcurrentHashMap.newKeySet();
    private volatile RelayFaults faults = RelayFaults.none();

    private RelayServer(RelaySettings settings) throws IOException {
        this.target = settings.target();
        this.server = AsynchronousServerSocketChannel.open().bind(addressOf(settings.listen()));
        this.control = HttpListener.start(settings.control(), CONTROL_CONNECTIONS, this::control);
    }

    /**
     * Starts a relay.
     *
     * @param settings  the settings, not null
     * @return the running relay, not null
     * @throws IOException if an endpoint can't be bound
     */
    public static RelayServer start(RelaySettings settings) throws IOException {
        RelayServer relay = new RelayServer(settings);
        relay.acceptNext();
        return relay;
    }

    private static InetSocketAddress addressOf(Endpoint endpoint) {
        return new InetSocketAddress(endpoint.host(), endpoint.port());
    }

    /**
     * Returns where the relay listens.
     *
     * @return the endpoint with the real port, not null
     */
    public Endpoint endpoint() {
        try {
            InetSocketAddress address = (InetSocketAddress) server.getLocalAddress();
            return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
        } catch (IOException e) {
            throw new IllegalStateException("the relay is closed", e);
        }
    }

    /**
     * Returns where the relay takes the switches of its faults.
     *
     * @return the endpoint with the real port, not null
     */
    public Endpoint control() {
        return control.endpoint();
    }

    RelayFaults faults() {
        return faults;
    }

    void remove(RelayLink link) {
        links.remove(link);
    }

    private CompletableFuture<HttpAnswer> control(HttpCall call) {
        if (!call.path().equals("/standin/faults")) {
            return CompletableFuture.completedFuture(HttpAnswer.of(404));
        }
        return CompletableFuture.completedFuture(changeFaults(Json.parse(call.body())));
    }

    private synchronized HttpAnswer changeFaults(ObjectNode change) {
        faults = faults.with(change);
        double silencedShare = change.path(SILENCED_SHARE).asDouble();
        for (RelayLink link : links) {
            if (ThreadLocalRandom.current().nextDouble() < silencedShare) {
                link.silence();
            }
        }
        List.copyOf(links).forEach(RelayLink::faultsChanged);
        return HttpAnswer.json(200, faults.toJson());
    }

    private void acceptNext() {
        server.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel client, Void nothing) {
                accepted(client);
                acceptNext();
            }

            @Override
            public void failed(Throwable error, Void nothing) {
                if (server.isOpen()) {
                    LOG.warn("a connection could not be accepted", error);
                    acceptNext();
                }
            }
        });
    }

    private void accepted(AsynchronousSocketChannel client) {
        RelayLink link = new RelayLink(this, client);
        links.add(link);
        link.open(addressOf(target));
    }

    /**
     * Ends the relay with its connections.
     */
    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            LOG.warn("the relay did not close", e);
        }
        List.copyOf(links).forEach(RelayLink::close);
        control.close();
    }
}
