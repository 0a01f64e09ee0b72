package org.trefoilpost.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;

/**
 * Base class of both ends of a connection. Decodes frames into messages, and closes the connection if a frame is
 * malformed or too long.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final EventLog LOG = EventLog.of(FrameHandler.class);
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final String REJECTED_FRAMES_COUNTER = "trefoilpost.peer.frames.rejected";
    private static final String BYTES_COUNTER = "trefoilpost.peer.bytes";

    private final EntryMetrics metrics;

    FrameHandler(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Adds the length-prefix framing and a handler to a pipeline.
     *
     * @param pipeline  the pipeline, not null
     * @param handler  the handler, not null
     */
    static void install(ChannelPipeline pipeline, FrameHandler handler) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(
                PeerCodec.MAX_FRAME_BYTES + LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
        pipeline.addLast(handler);
    }

    /**
     * Handles a received message.
     *
     * @param channel  the connection, not null
     * @param message  the message, not null
     */
    abstract void received(Channel channel, PeerMessage message);

    /**
     * Sends a message.
     *
     * @param channel  the connection, not null
     * @param message  the message, not null
     */
    final void send(Channel channel, PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        metrics.count(BYTES_COUNTER, "sent", frame.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
    }

    /**
     * Closes a connection whose other end violates the protocol, and counts and logs the reason.
     *
     * @param channel  the connection, not null
     * @param reason  the reason code for the metric and the log, not null
     */
    final void reject(Channel channel, String reason) {
        metrics.count(REJECTED_FRAMES_COUNTER, reason);
        LOG.warn(LogEvent.of("peer-connection-rejected")
                .with("reason", reason)
                .with("address", String.valueOf(channel.remoteAddress())));
        channel.close();
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, ByteBuf buffer) {
        byte[] frame = new byte[buffer.readableBytes()];
        buffer.readBytes(frame);
        metrics.count(BYTES_COUNTER, "received", frame.length);
        PeerMessage message;
        try {
            message = PeerCodec.decode(frame);
        } catch (MalformedFrameException e) {
            reject(context.channel(), "malformed");
            return;
        }
        received(context.channel(), message);
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            reject(context.channel(), "oversized");
        } else {
            LOG.debug(LogEvent.of("peer-connection-failed").withFailure(cause));
            context.close();
        }
    }
}
