package org.trefoilpost.standins.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client's connection with the connection to the target and the two directions between them.
 */
final class RelayLink {
    private final RelayServer relay;
    private final AsynchronousSocketChannel client;
    private final AsynchronousSocketChannel target;
    private final AtomicLong forwardedBytes = new AtomicLong();
    private final AtomicInteger endedDirections = new AtomicInteger();
    private final List<RelayDirection> directions;
    private volatile boolean silent;

    RelayLink(RelayServer relay, AsynchronousSocketChannel client) {
        this.relay = relay;
        this.client = client;
        try {
            this.target = AsynchronousSocketChannel.open();
        } catch (IOException e) {
            throw new UncheckedIOException("no socket for the target", e);
        }
        this.directions = List.of(new RelayDirection(this, client, target), new RelayDirection(this, target, client));
    }

    RelayFaults faults() {
        return relay.faults();
    }

    /**
     * Forwards nothing from now on, without closing the connection.
     */
    void silence() {
        silent = true;
    }

    /**
     * Returns whether bytes from a side are held back while the connection stays open.
     */
    boolean isHeld(AsynchronousSocketChannel source) {
        return silent || faults().isHalfOpen() || source == target && faults().holdsAnswers();
    }

    void open(InetSocketAddress address) {
        if (faults().isCut()) {
            close();
            return;
        }
        target.connect(address, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void attachment) {
                directions.forEach(RelayDirection::readNext);
            }

            @Override
            public void failed(Throwable error, Void attachment) {
                close();
            }
        });
    }

    void faultsChanged() {
        if (faults().isCut()) {
            close();
        } else {
            directions.forEach(RelayDirection::drain);
        }
    }

    /**
     * Takes bytes out of what the connection may still forward, and returns how many of them may pass.
     */
    int allow(int bytes) {
        long limit = faults().dropAfterBytes();
        long before = forwardedBytes.getAndAdd(bytes);
        return limit <= 0 ? bytes : (int) Math.max(0, Math.min(bytes, limit - before));
    }

    /**
     * Notes that a direction has come to its end; after both the connection is closed.
     */
    void ended() {
        if (endedDirections.incrementAndGet() == directions.size()) {
            close();
        }
    }

    void close() {
        relay.remove(this);
        close(client);
        close(target);
    }

    private static void close(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException ignored) {
            // The channel is of no further use.
        }
    }
}
