package org.trefoilpost.entry.target;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.PublisherSource;
import java.io.ByteArrayOutputStream;

/**
 * Buffers a response body up to a limit, and publishes a larger body as a stream.
 *
 * <p>While buffering, one buffer at a time is requested. A streamed body is requested only as fast as the caller reads it,
 * so that a slow caller exerts back-pressure on the target.
 */
final class ResponseCollector implements PublisherSource.Subscriber<Buffer>, PublisherSource<Buffer> {
    private final int maxBufferedBytes;
    private final Listener listener;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private PublisherSource.Subscription upstream;
    private PublisherSource.Subscriber<? super Buffer> downstream;
    private Buffer overflow;
    private boolean streaming;
    private boolean ended;
    private Throwable failure;

    private ResponseCollector(int maxBufferedBytes, Listener listener) {
        this.maxBufferedBytes = maxBufferedBytes;
        this.listener = listener;
    }

    /**
     * Obtains a collector.
     *
     * @param maxBufferedBytes  the maximum size of a buffered body, in bytes
     * @param listener  the listener for the body's progress, not null
     * @return the collector, not null
     */
    static ResponseCollector of(int maxBufferedBytes, Listener listener) {
        return new ResponseCollector(maxBufferedBytes, listener);
    }

    @Override
    public void onSubscribe(PublisherSource.Subscription subscription) {
        upstream = subscription;
        listener.bodyStarted(subscription::cancel);
        subscription.request(1);
    }

    @Override
    public void onNext(Buffer buffer) {
        if (streaming) {
            downstream.onNext(buffer);
            return;
        }
        if (buffered.size() + buffer.readableBytes() > maxBufferedBytes) {
            overflow = buffer;
            streaming = true;
            listener.bodyStreamed(this);
            return;
        }
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        buffered.writeBytes(bytes);
        upstream.request(1);
    }

    @Override
    public void onError(Throwable throwable) {
        if (!streaming) {
            listener.bodyFailed(throwable);
            return;
        }
        listener.streamEnded(false);
        endStream(throwable);
    }

    @Override
    public void onComplete() {
        if (!streaming) {
            listener.bodyCollected(buffered.toByteArray());
            return;
        }
        listener.streamEnded(true);
        endStream(null);
    }

    @Override
    public void subscribe(PublisherSource.Subscriber<? super Buffer> subscriber) {
        subscriber.onSubscribe(new PublisherSource.Subscription() {
            private boolean first = true;

            @Override
            public void request(long n) {
                if (first) {
                    first = false;
                    beginStream(subscriber);
                    requestMore(n - 1);
                } else {
                    requestMore(n);
                }
            }

            @Override
            public void cancel() {
                upstream.cancel();
                listener.streamEnded(false);
            }
        });
    }

    private void beginStream(PublisherSource.Subscriber<? super Buffer> subscriber) {
        Buffer start = overflow;
        overflow = null;
        Buffer joined = BufferAllocators.PREFER_HEAP_ALLOCATOR.newBuffer(buffered.size() + start.readableBytes());
        joined.writeBytes(buffered.toByteArray());
        joined.writeBytes(start);
        subscriber.onNext(joined);
        synchronized (this) {
            downstream = subscriber;
            if (!ended) {
                return;
            }
        }
        signalEnd();
    }

    private void requestMore(long n) {
        if (n > 0) {
            upstream.request(n);
        }
    }

    private void endStream(Throwable throwable) {
        synchronized (this) {
            ended = true;
            failure = throwable;
            if (downstream == null) {
                return;
            }
        }
        signalEnd();
    }

    private void signalEnd() {
        if (failure != null) {
            downstream.onError(failure);
        } else {
            downstream.onComplete();
        }
    }

    /**
     * Listener for the progress of a response body.
     */
    interface Listener {
        /**
         * Called when the subscription to the body has started.
         *
         * @param cancel  cancels the subscription when run, not null
         */
        void bodyStarted(Runnable cancel);

        /**
         * Called when the whole body has been buffered.
         *
         * @param body  the body, not null
         */
        void bodyCollected(byte[] body);

        /**
         * Called when the body exceeds the buffer limit and is published as a stream.
         *
         * @param stream  the whole body including the bytes already buffered, to be subscribed once, not null
         */
        void bodyStreamed(PublisherSource<Buffer> stream);

        /**
         * Called when the body failed before it was buffered completely.
         *
         * @param failure  the failure, not null
         */
        void bodyFailed(Throwable failure);

        /**
         * Called when a streamed body has ended, failed or been cancelled.
         *
         * @param complete  true if the whole body was received
         */
        void streamEnded(boolean complete);
    }
}
