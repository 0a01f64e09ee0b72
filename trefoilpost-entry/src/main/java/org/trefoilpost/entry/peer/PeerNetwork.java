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
 * The connections to all peers, and the listener to which peers connect.
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
     * Starts the listener.
     *
     * @param self  the name of this entry, not null
     * @param listen  the address to listen on, not null
     * @param sharedSecret  the secret that entries share, not null
     * @param handler  what is told of messages, not null
     * @param metrics  the metrics, not null
     * @return the network, not null
     * @throws InterruptedException if the thread is interrupted before the listener stands
     */
    public static PeerNetwork start(
            EntryId self, Endpoint listen, String sharedSecret, PeerHandler handler, EntryMetrics metrics)
            throws InterruptedException {
        PeerNetwork network = new PeerNetwork(self, PeerSecret.of(sharedSecret), metrics);
        network.listen(listen, handler);
        return network;
    }

    /**
     * Returns the address listened on.
     *
     * @return the address, not null
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /**
     * Returns the peers to which a connection stands.
     *
     * @return the peers, not null
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
     * Connects to a peer, unless a connection to its address stands or is being made.
     *
     * @param peer  the peer, not null
     * @param endpoint  the peer's address, not null
     */
    public void connect(EntryId peer, Endpoint endpoint) {
        PeerLink present = links.get(peer);
        if (present != null && present.endpoint().equals(endpoint)) {
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
     * Sends a message to a peer, if the connection stands.
     *
     * @param peer  the peer, not null
     * @param message  the message, not null
     * @return true if the message was handed to the connection
     */
    public boolean send(EntryId peer, PeerMessage message) {
        PeerLink link = links.get(peer);
        return link != null && link.send(message);
    }

    /**
     * Sends a message to every peer to which the connection stands.
     *
     * @param message  the message, not null
     */
    public void broadcast(PeerMessage message) {
        links.values().forEach(link -> link.send(message));
    }

    /**
     * Calls a peer.
     *
     * @param peer  the peer, not null
     * @param call  makes the call from its number, not null
     * @param timeoutMillis  the longest wait in milliseconds, positive
     * @return the reply, not null; fails with a {@link PeerCallException}
     */
    public CompletableFuture<PeerReply> call(EntryId peer, LongFunction<PeerCall> call, long timeoutMillis) {
        PeerLink link = links.get(peer);
        if (link == null) {
            return CompletableFuture.failedFuture(new PeerCallException("no link to " + peer, false));
        }
        CompletableFuture<PeerReply> reply = link.call(call);
        group.schedule(
                () -> reply.completeExceptionally(new PeerCallException("no reply from " + peer + " in time", true)),
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        return reply;
    }

    /**
     * Closes the listener and all connections.
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
