package org.trefoilpost.entry.target;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.PublisherSource;
import java.io.ByteArrayOutputStream;

/**
 * Collects an answer's body up to a limit, and turns into a stream past it.
 *
 * <p>The body is asked for one buffer at a time, so that a slow caller slows the target down once the answer is streamed.
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

    private ResponseCollector(int limit, Listener listener) {
        this.maxBufferedBytes = limit;
        this.listener = listener;
    }

    /**
     * Obtains a collector.
     *
     * @param limit  the most bytes that are held
     * @param listener  what is told of the outcome, not null
     * @return the collector, not null
     */
    static ResponseCollector of(int limit, Listener listener) {
        return new ResponseCollector(limit, listener);
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
     * Is told how collecting an answer went.
     */
    interface Listener {
        /**
         * Is told that the body has begun.
         *
         * @param cancel  ends the body when run, not null
         */
        void bodyStarted(Runnable cancel);

        /**
         * Is told that the whole body is held.
         *
         * @param body  the body, not null
         */
        void bodyCollected(byte[] body);

        /**
         * Is told that the body is larger than what is held, and goes on as a stream.
         *
         * @param stream  the whole body, not null
         */
        void bodyStreamed(PublisherSource<Buffer> stream);

        /**
         * Is told that the body broke off while it was held.
         *
         * @param failure  the failure, not null
         */
        void bodyFailed(Throwable failure);

        /**
         * Is told that a streamed body has ended.
         *
         * @param whole  true if the whole body came
         */
        void streamEnded(boolean whole);
    }
}
