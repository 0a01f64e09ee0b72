package org.trefoilpost.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
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
 * The connecting end of the connection to one peer, which connects anew whenever the connection is lost.
 */
final class PeerLink implements AutoCloseable {
    private static final long RECONNECT_DELAY_MILLIS = 200;
    private static final int MAX_OPEN_CALLS = 1_024;

    private final EntryId self;
    private final Endpoint endpoint;
    private final PeerSecret secret;
    private final EntryMetrics metrics;
    private final Bootstrap bootstrap;
    private final Map<Long, CompletableFuture<PeerReply>> openCalls = new ConcurrentHashMap<>();
    private final AtomicLong lastCallId = new AtomicLong();
    private volatile Connection connection;
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
     * Returns whether the peer can be sent to at present.
     *
     * @return true if the connection stands
     */
    boolean isConnected() {
        return connection != null;
    }

    /**
     * Connects.
     */
    void connect() {
        if (closed) {
            return;
        }
        bootstrap
                .connect(new InetSocketAddress(endpoint.host(), endpoint.port()))
                .addListener(connecting -> {
                    if (!connecting.isSuccess()) {
                        scheduleReconnect();
                    }
                });
    }

    /**
     * Sends a message, if the connection stands.
     *
     * @param message  the message, not null
     * @return true if the message was handed to the connection
     */
    boolean send(PeerMessage message) {
        Connection present = connection;
        if (present == null || !present.channel.isWritable()) {
            metrics.count("trefoilpost.peer.messages.dropped", present == null ? "not-connected" : "congested");
            return false;
        }
        present.send(present.channel, message);
        return true;
    }

    /**
     * Sends a call.
     *
     * @param call  makes the call from its number, not null
     * @return the reply, not null; fails with a {@link PeerCallException}
     */
    CompletableFuture<PeerReply> call(LongFunction<PeerCall> call) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        if (openCalls.size() >= MAX_OPEN_CALLS) {
            reply.completeExceptionally(new PeerCallException("too many calls to " + endpoint + " wait", false));
            return reply;
        }
        long id = lastCallId.incrementAndGet();
        openCalls.put(id, reply);
        reply.whenComplete((value, failure) -> openCalls.remove(id));
        if (!send(call.apply(id))) {
            reply.completeExceptionally(new PeerCallException("no connection to " + endpoint, false));
        }
        return reply;
    }

    /**
     * Closes the connection for good.
     */
    @Override
    public void close() {
        closed = true;
        Connection present = connection;
        if (present != null) {
            present.channel.close();
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
                new PeerCallException("the connection to " + endpoint + " was lost", true)));
    }

    /**
     * A connection that stands or is being made.
     */
    private final class Connection extends FrameHandler {
        private Channel channel;

        private Connection() {
            super(metrics);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        void received(Channel source, PeerMessage message) {
            if (message instanceof Challenge challenge) {
                send(source, Hello.of(self, secret.sign(challenge.nonce(), self)));
                connection = this;
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
