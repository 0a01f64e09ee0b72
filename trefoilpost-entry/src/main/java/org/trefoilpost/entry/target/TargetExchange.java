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
import org.trefoilpost.entry.http.HeaderLists;

/**
 * One request to a target and its one answer, on a connection of its own for that time.
 */
final class TargetExchange implements AnswerCollector.Listener {
    private static final String EXCHANGE_ID = "Trefoilpost-Request-Id";
    private static final String DEADLINE = "Trefoilpost-Deadline-Millis";
    private static final String NOT_STARTED = "Worker-Not-Started";
    private static final String WORKER_LEAVING = "Worker-Leaving";
    private static final String LEAVING_REASON = "leaving";
    private static final Set<String> OWN_HEADERS = Set.of("trefoilpost-request-id");

    private final TargetRequest request;
    private final TargetConnections connections;
    private final int heldBytes;
    private final CompletableFuture<TargetAnswer> answer = new CompletableFuture<>();
    private final AtomicBoolean connectionGivenBack = new AtomicBoolean();
    private volatile ReservedStreamingHttpConnection connection;
    private volatile Runnable cancelSending = () -> {};
    private StreamingHttpResponse response;

    private TargetExchange(TargetRequest request, TargetConnections connections, int heldBytes) {
        this.request = request;
        this.connections = connections;
        this.heldBytes = heldBytes;
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
    CompletableFuture<TargetAnswer> answer() {
        return answer;
    }

    /**
     * Takes a connection and sends the request.
     */
    void start() {
        answer.whenComplete((value, failure) -> {
            if (failure instanceof CancellationException) {
                abandon();
            }
        });
        connections.acquire(request.connectionLimit()).whenComplete((taken, failure) -> {
            if (failure != null) {
                answer.completeExceptionally(unwrapped(failure));
            } else {
                connected(taken);
            }
        });
    }

    @Override
    public void started(Runnable cancel) {
        cancelSending = cancel;
    }

    @Override
    public void collected(byte[] body) {
        giveBack(true);
        answer.complete(TargetAnswer.whole(
                response.status().code(), HeaderLists.endToEnd(response.headers(), OWN_HEADERS), body));
    }

    @Override
    public void overflowed(PublisherSource<Buffer> stream) {
        Publisher<Buffer> body = SourceAdapters.fromSource(stream);
        if (!answer.complete(TargetAnswer.streamed(
                response.status().code(), HeaderLists.endToEnd(response.headers(), OWN_HEADERS), body))) {
            abandon();
        }
    }

    @Override
    public void failed(Throwable failure) {
        giveBack(false);
        fail(TargetFailure.ANSWER_INCOMPLETE, failure);
    }

    @Override
    public void ended(boolean whole) {
        giveBack(whole);
    }

    private void connected(ReservedStreamingHttpConnection taken) {
        connection = taken;
        if (answer.isDone()) {
            giveBack(true);
            return;
        }
        StreamingHttpRequest message = message(taken);
        Cancellable sending = taken.request(message).subscribe(this::answered, failure -> {
            giveBack(false);
            fail(TargetFailure.CONNECTION_LOST, failure);
        });
        cancelSending = sending::cancel;
        if (answer.isCancelled()) {
            abandon();
        }
    }

    private StreamingHttpRequest message(ReservedStreamingHttpConnection taken) {
        StreamingHttpRequest message = taken.newRequest(method(request.method()), request.path());
        for (Map.Entry<String, String> header : request.headers()) {
            message.addHeader(header.getKey(), header.getValue());
        }
        message.setHeader(EXCHANGE_ID, request.exchangeId());
        message.setHeader(DEADLINE, Long.toString(request.timeoutMillis()));
        byte[] body = request.body();
        if (body.length > 0 || !bodiless(request.method())) {
            message.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        }
        if (body.length > 0) {
            message.payloadBody(Publisher.from(BufferAllocators.PREFER_HEAP_ALLOCATOR.wrap(body)));
        }
        return message;
    }

    private void answered(StreamingHttpResponse received) {
        response = received;
        HttpHeaders headers = received.headers();
        CharSequence id = headers.get(EXCHANGE_ID);
        if (id != null && !request.exchangeId().contentEquals(id)) {
            giveBack(false);
            fail(TargetFailure.FOREIGN_ANSWER, null);
            return;
        }
        CharSequence notStarted = headers.get(NOT_STARTED);
        if (notStarted != null && received.status().code() == 503) {
            rejected(notStarted, headers);
            return;
        }
        if (!isDelimited(received)) {
            giveBack(false);
            fail(TargetFailure.ANSWER_INCOMPLETE, null);
            return;
        }
        SourceAdapters.toSource(received.payloadBody()).subscribe(AnswerCollector.of(heldBytes, this));
    }

    private void rejected(CharSequence reason, HttpHeaders headers) {
        boolean leaving = LEAVING_REASON.contentEquals(reason) || headers.contains(WORKER_LEAVING);
        response.payloadBody()
                .ignoreElements()
                .whenFinally(() -> giveBack(false))
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
        cancelSending.run();
        if (connection != null) {
            giveBack(false);
        }
    }

    private void giveBack(boolean reusable) {
        if (!connectionGivenBack.compareAndSet(false, true)) {
            return;
        }
        if (reusable) {
            connections.release(connection);
        } else {
            connections.discard(connection);
        }
    }

    private void fail(TargetFailure failure, Throwable cause) {
        answer.completeExceptionally(TargetException.of(failure, failure + " for " + request, cause));
    }

    private static boolean bodiless(String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
    }

    private static HttpRequestMethod method(String name) {
        return HttpRequestMethod.of(name, HttpRequestMethod.Properties.NONE);
    }

    private static Throwable unwrapped(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
