package org.trefoilpost.standins.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.trefoilpost.standins.http.Timers;

/**
 * One direction of a relayed connection: chunks wait in a queue until their time has come.
 */
final class RelayDirection {
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int MAX_QUEUED_CHUNKS = 64;

    private final RelayLink link;
    private final AsynchronousSocketChannel source;
    private final AsynchronousSocketChannel sink;
    private final Deque<Chunk> queue = new ArrayDeque<>();
    private boolean reading;
    private boolean writing;
    private boolean ended;

    RelayDirection(RelayLink link, AsynchronousSocketChannel source, AsynchronousSocketChannel sink) {
        this.link = link;
        this.source = source;
        this.sink = sink;
    }

    synchronized void readNext() {
        if (reading || ended || queue.size() >= MAX_QUEUED_CHUNKS) {
            return;
        }
        reading = true;
        ByteBuffer buffer = ByteBuffer.allocate(CHUNK_BYTES);
        source.read(buffer, null, new CompletionHandler<Integer, Void>() {
            @Override
            public void completed(Integer bytes, Void nothing) {
                received(buffer, bytes);
            }

            @Override
            public void failed(Throwable error, Void nothing) {
                link.close();
            }
        });
    }

    private void received(ByteBuffer buffer, int bytes) {
        long delayMillis = link.faults().delayMillis();
        synchronized (this) {
            reading = false;
            ended = bytes < 0;
            queue.add(new Chunk(buffer.flip(), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis)));
        }
        readNext();
        drain();
    }

    /**
     * Forwards the next chunk if its time has come, or comes back when it has.
     */
    void drain() {
        Chunk next;
        synchronized (this) {
            next = queue.peek();
            if (writing || next == null || link.isHeld(source)) {
                return;
            }
            writing = true;
        }
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(next.dueNanos - System.nanoTime());
        Timers.after(waitMillis, () -> CompletableFuture.completedFuture(forward(next.bytes)));
    }

    private boolean forward(ByteBuffer bytes) {
        if (!bytes.hasRemaining()) {
            shutDown();
            return false;
        }
        int allowed = link.allow(bytes.remaining());
        boolean dropped = allowed < bytes.remaining();
        bytes.limit(bytes.position() + allowed);
        write(bytes, dropped);
        return true;
    }

    private void write(ByteBuffer bytes, boolean lastOfLink) {
        sink.write(bytes, null, new CompletionHandler<Integer, Void>() {
            @Override
            public void completed(Integer count, Void nothing) {
                if (bytes.hasRemaining()) {
                    write(bytes, lastOfLink);
                } else if (lastOfLink) {
                    link.close();
                } else {
                    written();
                }
            }

            @Override
            public void failed(Throwable error, Void nothing) {
                link.close();
            }
        });
    }

    private void written() {
        synchronized (this) {
            queue.remove();
            writing = false;
        }
        readNext();
        drain();
    }

    private void shutDown() {
        try {
            sink.shutdownOutput();
        } catch (IOException e) {
            link.close();
        }
        link.ended();
    }

    /**
     * Bytes on their way, or the end of the stream when there are none.
     */
    private static final class Chunk {
        private final ByteBuffer bytes;
        private final long dueNanos;

        private Chunk(ByteBuffer bytes, long dueNanos) {
            this.bytes = bytes;
            this.dueNanos = dueNanos;
        }
    }
}
