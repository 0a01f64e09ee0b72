package org.trefoilpost.standins.http;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpServers;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jboss.logging.Logger;
import org.trefoilpost.model.Endpoint;

/**
 * A listening HTTP server whose handler runs on the I/O threads.
 */
public final class HttpListener implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HttpListener.class);

    private static final String IN_USE = "Address already in use";

    private final HttpServerContext context;

    private HttpListener(HttpServerContext context) {
        this.context = context;
    }

    /**
     * Starts to listen.
     *
     * @param endpoint  where to listen, port 0 for a free port, not null
     * @param maxConnections  the connections that are accepted at the same time
     * @param handler  the handler of every call, not null
     * @return the listener, not null
     * @throws BindException if the endpoint is in use
     * @throws IOException if the endpoint can't be bound for another reason
     */
    public static HttpListener start(Endpoint endpoint, int maxConnections, HttpHandler handler) throws IOException {
        try {
            return new HttpListener(HttpServers.forAddress(new InetSocketAddress(endpoint.host(), endpoint.port()))
                    .executionStrategy(HttpExecutionStrategies.offloadNone())
                    .appendLateConnectionAcceptor(new ConnectionLimit(maxConnections))
                    .listenStreamingAndAwait((ctx, request, factory) ->
                            request.toRequest().flatMap(whole -> serve(ctx, whole, factory, handler))));
        } catch (Exception e) {
            throw bindFailure(endpoint, e);
        }
    }

    private static IOException bindFailure(Endpoint endpoint, Exception cause) {
        String message = endpoint + " can't be bound: " + cause.getMessage();
        if (message.contains(IN_USE)) {
            BindException inUse = new BindException(message);
            inUse.initCause(cause);
            return inUse;
        }
        return new IOException(message, cause);
    }

    private static Single<StreamingHttpResponse> serve(
            HttpServiceContext context,
            HttpRequest request,
            StreamingHttpResponseFactory factory,
            HttpHandler handler) {
        return Single.fromStage(answer(request, handler)).flatMap(answer -> switch (answer.delivery()) {
            case WHOLE -> whole(context, factory, answer);
            case BROKEN -> Single.succeeded(broken(context, factory, answer));
            case LOST -> context.closeAsync().concat(Single.never());
        });
    }

    private static CompletableFuture<HttpAnswer> answer(HttpRequest request, HttpHandler handler) {
        CompletableFuture<HttpAnswer> answer;
        try {
            answer = handler.handle(HttpCall.of(request));
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(HttpListener::failure);
    }

    private static HttpAnswer failure(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (cause instanceof BadCallException) {
            return HttpAnswer.of(400, cause.getMessage().getBytes(StandardCharsets.UTF_8));
        }
        LOG.error("a call failed", cause);
        return HttpAnswer.of(500);
    }

    private static Single<StreamingHttpResponse> whole(
            HttpServiceContext context, StreamingHttpResponseFactory factory, HttpAnswer answer) {
        return head(factory, answer)
                .toResponse()
                .map(response -> response.payloadBody(
                                context.executionContext().bufferAllocator().wrap(answer.body()))
                        .toStreamingResponse());
    }

    private static StreamingHttpResponse broken(
            HttpServiceContext context, StreamingHttpResponseFactory factory, HttpAnswer answer) {
        byte[] half = Arrays.copyOf(answer.body(), answer.body().length / 2);
        Buffer sent = context.executionContext().bufferAllocator().wrap(half);
        StreamingHttpResponse response = head(factory, answer);
        response.setHeader("Content-Length", Integer.toString(answer.body().length));
        return response.payloadBody(
                Publisher.from(sent).concat(context.closeAsync().concat(Publisher.<Buffer>never())));
    }

    private static StreamingHttpResponse head(StreamingHttpResponseFactory factory, HttpAnswer answer) {
        StreamingHttpResponse response = factory.newResponse(HttpResponseStatus.of(answer.status(), ""));
        response.version(HttpProtocolVersion.HTTP_1_1);
        answer.headers().forEach(response::setHeader);
        return response;
    }

    /**
     * Returns where this listener listens.
     *
     * @return the endpoint with the real port, not null
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) context.listenAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    /**
     * Closes the listener and its connections, and waits for it.
     */
    @Override
    public void close() {
        try {
            context.close();
        } catch (Exception e) {
            LOG.warn("a listener did not close", e);
        }
    }

    /**
     * Closes the listener and its connections without waiting on the calling thread.
     *
     * @return the end of the closing, not null
     */
    public CompletableFuture<Void> closeAsync() {
        return context.closeAsync().toCompletionStage().toCompletableFuture();
    }

    /**
     * Stops listening at once, lets the calls under way get their answers and then closes the connections.
     *
     * @return the end of the closing, which a caller that keeps its connection can put off, not null
     */
    public CompletableFuture<Void> closeGracefully() {
        return context.closeAsyncGracefully().toCompletionStage().toCompletableFuture();
    }
}
