package org.trefoilpost.entry.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.model.EntryId;

/**
 * The accepting end of a connection. Challenges the connecting entry, and passes its messages to the handler once it
 * has proved that it knows the shared secret.
 */
final class AcceptedConnection extends FrameHandler {
    private final PeerSecret secret;
    private final PeerHandler handler;
    private final byte[] nonce;
    private EntryId peer;

    AcceptedConnection(PeerSecret secret, PeerHandler handler, EntryMetrics metrics) {
        super(metrics);
        this.secret = secret;
        this.handler = handler;
        this.nonce = secret.newNonce();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        send(context.channel(), Challenge.of(nonce));
    }

    @Override
    void received(Channel channel, PeerMessage message) {
        if (peer == null) {
            authenticate(channel, message);
        } else {
            handler.received(peer, message, reply -> send(channel, reply));
        }
    }

    private void authenticate(Channel channel, PeerMessage message) {
        if (message instanceof Hello hello && secret.verifies(nonce, hello)) {
            peer = hello.entry();
        } else {
            reject(channel, "unauthenticated");
        }
    }
}
