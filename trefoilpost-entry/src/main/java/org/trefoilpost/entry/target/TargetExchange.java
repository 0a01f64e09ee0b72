package org.trefoilpost.entry.target;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.trefoilpost.entry.http.EndToEndHeaders;

/**
 * One request to a target and its one answer, on a connection of its own for that time.
 */
final class TargetExchange implements ResponseCollector.Listener {
    private static final String EXCHANGE_ID_HEADER = "Trefoilpost-Request-Id";
    private static final String DEADLINE_HEADER = "Trefoilpost-Deadline-Millis";
    private static final String NOT_STARTED_HEADER = "Worker-Not-Started";
    private static final String LEAVING_HEADER = "Worker-Leaving";
    private static final String LEAVING_REASON = "leaving";
    private static final Set<String> EXCLUDED_HEADERS = Set.of("trefoilpost-request-id");

    private final TargetRequest request;
    private final TargetConnections connections;
    private final int maxBufferedBytes;
    private final CompletableFuture<TargetResponse> result = new CompletableFuture<>();
    private final AtomicBoolean connectionReleased = new AtomicBoolean();
    private volatile ReservedStreamingHttpConnection connection;
    private volatile Runnable cancelTransfer = () -> {};
    private StreamingHttpResponse response;

    private TargetExchange(TargetRequest request, TargetConnections connections, int heldBytes) {
        this.request = request;
        this.connections = connections;
        this.maxBufferedBytes = heldBytes;
    }

    /**
     * Obtains an exchange that has not started.
     *
     * @param request  the request, not null
     * @param connections  the connections to the target, not null
     * @param heldBytes  the most bytes of the answer that are held
     * @return the exchange, not null
     */
    static TargetExchange of(TargetRequest request, TargetConnections connections, int heldBytes) {
        return new TargetExchange(request, connections, heldBytes);
    }

    /**
     * Returns the answer, which fails with a {@link TargetException}.
     *
     * @return the answer, not null
     */
    CompletableFuture<TargetResponse> result() {
        return result;
    }

    /**
     * Takes a connection and sends the request.
     */
    void start() {
        result.whenComplete((value, failure) -> {
            if (failure instanceof CancellationException) {
                abandon();
            }
        });
        connections.acquire(request.connectionLimit()).whenComplete((taken, failure) -> {
            if (failure != null) {
                result.completeExceptionally(unwrapped(failure));
            } else {
                onConnected(taken);
            }
        });
    }

    @Override
    public void bodyStarted(Runnable cancel) {
        cancelTransfer = cancel;
    }

    @Override
    public void bodyCollected(byte[] body) {
        releaseConnection(true);
        result.complete(TargetResponse.whole(
                response.status().code(), EndToEndHeaders.of(response.headers(), EXCLUDED_HEADERS), body));
    }

    @Override
    public void bodyStreamed(PublisherSource<Buffer> stream) {
        Publisher<Buffer> body = SourceAdapters.fromSource(stream);
        if (!result.complete(TargetResponse.streamed(
                response.status().code(), EndToEndHeaders.of(response.headers(), EXCLUDED_HEADERS), body))) {
            abandon();
        }
    }

    @Override
    public void bodyFailed(Throwable failure) {
        releaseConnection(false);
        fail(TargetFailure.ANSWER_INCOMPLETE, failure);
    }

    @Override
    public void streamEnded(boolean whole) {
        releaseConnection(whole);
    }

    private void onConnected(ReservedStreamingHttpConnection taken) {
        connection = taken;
        if (result.isDone()) {
            releaseConnection(true);
            return;
        }
        StreamingHttpRequest message = httpRequest(taken);
        Cancellable sending = taken.request(message).subscribe(this::onResponse, failure -> {
            releaseConnection(false);
            fail(TargetFailure.CONNECTION_LOST, failure);
        });
        cancelTransfer = sending::cancel;
        if (result.isCancelled()) {
            abandon();
        }
    }

    private StreamingHttpRequest httpRequest(ReservedStreamingHttpConnection taken) {
        StreamingHttpRequest message = taken.newRequest(method(request.method()), request.path());
        for (Map.Entry<String, String> header : request.headers()) {
            message.addHeader(header.getKey(), header.getValue());
        }
        message.setHeader(EXCHANGE_ID_HEADER, request.exchangeId());
        message.setHeader(DEADLINE_HEADER, Long.toString(request.timeoutMillis()));
        byte[] body = request.body();
        if (body.length > 0 || !isBodylessMethod(request.method())) {
            message.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        }
        if (body.length > 0) {
            message.payloadBody(Publisher.from(BufferAllocators.PREFER_HEAP_ALLOCATOR.wrap(body)));
        }
        return message;
    }

    private void onResponse(StreamingHttpResponse received) {
        response = received;
        HttpHeaders headers = received.headers();
        CharSequence id = headers.get(EXCHANGE_ID_HEADER);
        if (id != null && !request.exchangeId().contentEquals(id)) {
            releaseConnection(false);
            fail(TargetFailure.FOREIGN_ANSWER, null);
            return;
        }
        CharSequence notStarted = headers.get(NOT_STARTED_HEADER);
        if (notStarted != null && received.status().code() == 503) {
            onRejected(notStarted, headers);
            return;
        }
        if (!isDelimited(received)) {
            releaseConnection(false);
            fail(TargetFailure.ANSWER_INCOMPLETE, null);
            return;
        }
        SourceAdapters.toSource(received.payloadBody()).subscribe(ResponseCollector.of(maxBufferedBytes, this));
    }

    private void onRejected(CharSequence reason, HttpHeaders headers) {
        boolean leaving = LEAVING_REASON.contentEquals(reason) || headers.contains(LEAVING_HEADER);
        response.payloadBody()
                .ignoreElements()
                .whenFinally(() -> releaseConnection(false))
                .subscribe();
        fail(leaving ? TargetFailure.LEAVING : TargetFailure.NOT_STARTED, null);
    }

    private boolean isDelimited(StreamingHttpResponse received) {
        int status = received.status().code();
        return status == 204
                || status == 304
                || request.method().equals("HEAD")
                || received.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || received.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private void abandon() {
        cancelTransfer.run();
        if (connection != null) {
            releaseConnection(false);
        }
    }

    private void releaseConnection(boolean reusable) {
        if (!connectionReleased.compareAndSet(false, true)) {
            return;
        }
        if (reusable) {
            connections.release(connection);
        } else {
            connections.discard(connection);
        }
    }

    private void fail(TargetFailure failure, Throwable cause) {
        result.completeExceptionally(TargetException.of(failure, failure + " for " + request, cause));
    }

    private static boolean isBodylessMethod(String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
    }

    private static HttpRequestMethod method(String name) {
        return HttpRequestMethod.of(name, HttpRequestMethod.Properties.NONE);
    }

    private static Throwable unwrapped(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
