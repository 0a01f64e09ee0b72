package org.trefoilpost.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * The connecting end of the connection to one peer. Reconnects after a fixed delay whenever an attempt fails or the
 * connection is lost or stays silent.
 */
final class PeerLink implements AutoCloseable {
    private static final long RECONNECT_DELAY_MILLIS = 200;
    /** The longest wait for the challenge of a peer that has accepted a connection. */
    private static final long CHALLENGE_TIMEOUT_MILLIS = 2_000;

    private static final int MAX_OPEN_CALLS = 1_024;

    private final EntryId self;
    private final Endpoint endpoint;
    private final PeerSecret secret;
    private final EntryMetrics metrics;
    private final Bootstrap bootstrap;
    private final Map<Long, CompletableFuture<PeerReply>> openCalls = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();
    private volatile Connection connection;
    private volatile boolean refused;
    private volatile boolean closed;

    PeerLink(EntryId self, Endpoint endpoint, PeerSecret secret, EntryMetrics metrics, Bootstrap bootstrap) {
        this.self = self;
        this.endpoint = endpoint;
        this.secret = secret;
        this.metrics = metrics;
        this.bootstrap = bootstrap.clone();
        this.bootstrap.handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                FrameHandler.install(channel.pipeline(), new Connection());
            }
        });
    }

    /**
     * Returns the peer's address.
     *
     * @return the address, not null
     */
    Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns whether messages can be sent to the peer.
     *
     * @return true if the connection is established and this entry has answered the challenge
     */
    boolean isConnected() {
        return connection != null;
    }

    /**
     * Returns whether the peer's machine refused the last connection attempt, because no process listens at the address.
     *
     * @return true if the last attempt was refused; false if it succeeded or was not answered
     */
    boolean isRefused() {
        return refused;
    }

    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    /**
     * Starts to connect, unless this link is closed. A failed attempt is retried.
     */
    void connect() {
        if (closed) {
            return;
        }
        bootstrap
                .connect(new InetSocketAddress(endpoint.host(), endpoint.port()))
                .addListener(connecting -> {
                    refused = isRefusal(connecting.cause());
                    if (!connecting.isSuccess()) {
                        scheduleReconnect();
                    }
                });
    }

    /**
     * Sends a message if the connection is established and writable; otherwise drops and counts it.
     *
     * @param message  the message, not null
     * @return true if the message was written to the connection, false if it was dropped
     */
    boolean send(PeerMessage message) {
        Connection current = connection;
        if (current == null || !current.channel.isWritable()) {
            metrics.count("trefoilpost.peer.messages.dropped", current == null ? "not-connected" : "congested");
            return false;
        }
        current.send(current.channel, message);
        return true;
    }

    /**
     * Sends a call.
     *
     * @param call  creates the call from its identifier, not null
     * @return the reply, not null; fails with a {@link PeerCallException} if no reply can be expected
     */
    CompletableFuture<PeerReply> call(LongFunction<PeerCall> call) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        if (openCalls.size() >= MAX_OPEN_CALLS) {
            reply.completeExceptionally(new PeerCallException("too many open calls to " + endpoint, false));
            return reply;
        }
        long id = lastCallId.incrementAndGet();
        openCalls.put(id, reply);
        reply.whenComplete((value, failure) -> openCalls.remove(id));
        if (!send(call.apply(id))) {
            reply.completeExceptionally(new PeerCallException("no writable connection to " + endpoint, false));
        }
        return reply;
    }

    /**
     * Closes the connection without reconnecting, and fails the open calls.
     */
    @Override
    public void close() {
        closed = true;
        Connection current = connection;
        if (current != null) {
            current.channel.close();
        }
        failOpenCalls();
    }

    private void scheduleReconnect() {
        EventLoopGroup group = bootstrap.config().group();
        if (!closed && !group.isShuttingDown()) {
            group.schedule(this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void failOpenCalls() {
        List<CompletableFuture<PeerReply>> open = new ArrayList<>(openCalls.values());
        open.forEach(reply -> reply.completeExceptionally(
                new PeerCallException("connection to " + endpoint + " closed before the reply", true)));
    }

    /**
     * A connection that is established or being established.
     */
    private final class Connection extends FrameHandler {
        private Channel channel;

        private Connection() {
            super(metrics);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            channel.eventLoop().schedule(this::closeUnlessChallenged, CHALLENGE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void closeUnlessChallenged() {
            if (connection != this && channel.isActive()) {
                metrics.count("trefoilpost.peer.connections.closed", "no-challenge");
                channel.close();
            }
        }

        @Override
        void received(Channel source, PeerMessage message) {
            if (message instanceof Challenge challenge) {
                send(source, Hello.of(self, secret.sign(challenge.nonce(), self)));
                connection = this;
                if (closed) {
                    // The link was closed while it had no connection to close.
                    source.close();
                }
            } else if (message instanceof PeerReply reply) {
                CompletableFuture<PeerReply> waiting = openCalls.get(reply.callId());
                if (waiting == null) {
                    metrics.count("trefoilpost.peer.replies.dropped", "late");
                } else {
                    waiting.complete(reply);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (connection == this) {
                connection = null;
                failOpenCalls();
            }
            scheduleReconnect();
        }
    }
}
