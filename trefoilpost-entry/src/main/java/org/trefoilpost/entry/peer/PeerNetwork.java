package org.trefoilpost.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The connections to all peers, and the server socket to which peers connect.
 */
public final class PeerNetwork implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EntryId self;
    private final PeerSecret secret;
    private final EntryMetrics metrics;
    private final EventLoopGroup group;
    private final Bootstrap bootstrap;
    private final Map<EntryId, PeerLink> links = new ConcurrentHashMap<>();
    private Channel listener;

    private PeerNetwork(EntryId self, PeerSecret secret, EntryMetrics metrics) {
        this.self = self;
        this.secret = secret;
        this.metrics = metrics;
        this.group = new NioEventLoopGroup(1, new DefaultThreadFactory("peers", true));
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Binds the server socket and starts to accept connections.
     *
     * @param self  the identifier of this entry, not null
     * @param listen  the address to listen on, port 0 for any free port, not null
     * @param sharedSecret  the secret that all entries share, empty if none is set, not null
     * @param handler  the handler of received messages, not null
     * @param metrics  the metrics, not null
     * @return the network, not null
     * @throws InterruptedException if the thread is interrupted before the socket is bound
     */
    public static PeerNetwork start(
            EntryId self, Endpoint listen, String sharedSecret, PeerHandler handler, EntryMetrics metrics)
            throws InterruptedException {
        PeerNetwork network = new PeerNetwork(self, PeerSecret.of(sharedSecret), metrics);
        network.listen(listen, handler);
        return network;
    }

    /**
     * Returns the address of the server socket.
     *
     * @return the address with the bound port, not null
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /**
     * Returns the peers to which a connection is established.
     *
     * @return the peers, a copy, not null
     */
    public Set<EntryId> connectedPeers() {
        Set<EntryId> connected = new TreeSet<>();
        links.forEach((entry, link) -> {
            if (link.isConnected()) {
                connected.add(entry);
            }
        });
        return connected;
    }

    /**
     * Returns whether a peer's machine refused the last connection attempt, because no process listens at the address.
     *
     * @param peer  the peer, not null
     * @return true if the last attempt was refused; false if it succeeded, was not answered, or none was made
     */
    public boolean isRefused(EntryId peer) {
        PeerLink link = links.get(peer);
        return link != null && link.isRefused();
    }

    /**
     * Connects to a peer, unless a link to its address exists already. A link to another address is closed.
     *
     * @param peer  the peer, not null
     * @param endpoint  the peer's address, not null
     */
    public void connect(EntryId peer, Endpoint endpoint) {
        PeerLink current = links.get(peer);
        if (current != null && current.endpoint().equals(endpoint)) {
            return;
        }
        disconnect(peer);
        PeerLink link = new PeerLink(self, endpoint, secret, metrics, bootstrap);
        links.put(peer, link);
        link.connect();
    }

    /**
     * Disconnects from a peer.
     *
     * @param peer  the peer, not null
     */
    public void disconnect(EntryId peer) {
        PeerLink link = links.remove(peer);
        if (link != null) {
            link.close();
        }
    }

    /**
     * Sends a message to a peer if the connection is established and writable.
     *
     * @param peer  the peer, not null
     * @param message  the message, not null
     * @return true if the message was written to the connection, false if it was dropped
     */
    public boolean send(EntryId peer, PeerMessage message) {
        PeerLink link = links.get(peer);
        return link != null && link.send(message);
    }

    /**
     * Sends a message to every peer whose connection is established and writable.
     *
     * @param message  the message, not null
     */
    public void broadcast(PeerMessage message) {
        links.values().forEach(link -> link.send(message));
    }

    /**
     * Sends a call to a peer.
     *
     * @param peer  the peer, not null
     * @param call  creates the call from its identifier, not null
     * @param timeoutMillis  the time in milliseconds after which the call fails, positive
     * @return the reply, not null; fails with a {@link PeerCallException}
     */
    public CompletableFuture<PeerReply> call(EntryId peer, LongFunction<PeerCall> call, long timeoutMillis) {
        PeerLink link = links.get(peer);
        if (link == null) {
            return CompletableFuture.failedFuture(new PeerCallException("no link to peer " + peer, false));
        }
        CompletableFuture<PeerReply> reply = link.call(call);
        group.schedule(
                () -> reply.completeExceptionally(new PeerCallException("call to peer " + peer + " timed out", true)),
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        return reply;
    }

    /**
     * Closes the server socket and all connections.
     */
    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void listen(Endpoint listen, PeerHandler handler) throws InterruptedException {
        ServerBootstrap server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        FrameHandler.install(channel.pipeline(), new AcceptedConnection(secret, handler, metrics));
                    }
                });
        listener = server.bind(new InetSocketAddress(listen.host(), listen.port()))
                .sync()
                .channel();
    }
}
