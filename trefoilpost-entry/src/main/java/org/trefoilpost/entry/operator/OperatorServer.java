package org.trefoilpost.entry.operator;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.model.Endpoint;

/**
 * The operators' listener.
 */
public final class OperatorServer implements HttpService, AutoCloseable {
    private static final EventLog LOG = EventLog.of(OperatorServer.class);
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final String REFUSALS_METRIC = "trefoilpost.operator.refused";

    private final String token;
    private final List<OperatorRoutes> publicRoutes;
    private final List<OperatorRoutes> authenticatedRoutes;
    private final EntryMetrics metrics;
    private HttpServerContext server;

    private OperatorServer(
            String token, List<OperatorRoutes> open, List<OperatorRoutes> guarded, EntryMetrics metrics) {
        this.token = token;
        this.publicRoutes = open;
        this.authenticatedRoutes = guarded;
        this.metrics = metrics;
    }

    /**
     * Starts the listener.
     *
     * @param listen  the address to listen on, not null
     * @param token  the token that operators send, without text if none is needed, not null
     * @param services  what calls are answered from, not null
     * @return the listener, not null
     * @throws Exception if the address cannot be listened on
     */
    public static OperatorServer start(Endpoint listen, String token, OperatorServices services) throws Exception {
        List<OperatorRoutes> open = List.of(new HealthRoutes(services));
        List<OperatorRoutes> guarded = List.of(
                new StatusRoutes(services),
                new ConfigurationRoutes(services),
                new PoolRoutes(services),
                new PlanRoutes(services));
        OperatorServer operator = new OperatorServer(token, open, guarded, services.metrics());
        operator.server = HttpServers.forAddress(new InetSocketAddress(listen.host(), listen.port()))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenAndAwait(operator);
        return operator;
    }

    /**
     * Returns the address listened on.
     *
     * @return the address, not null
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) server.listenAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        return Single.fromStage(respond(request).exceptionally(OperatorServer::failureResponse))
                .map(answer -> toHttpResponse(answer, context, factory));
    }

    /**
     * Closes the listener and its connections.
     */
    @Override
    public void close() {
        server.closeAsync().subscribe();
    }

    private CompletableFuture<OperatorResponse> respond(HttpRequest request) {
        byte[] body = new byte[request.payloadBody().readableBytes()];
        if (body.length > MAX_BODY_BYTES) {
            return refused("body-too-large", 413, "the body has " + body.length + " bytes; 1 MiB is allowed");
        }
        request.payloadBody().readBytes(body);
        OperatorRequest call =
                OperatorRequest.of(request.method().name(), segments(request.path()), request::queryParameter, body);
        Optional<CompletableFuture<OperatorResponse>> answer = route(publicRoutes, call);
        if (answer.isEmpty() && !isAuthorized(request)) {
            return refused("wrong-token", 401, "Authorization: Bearer TOKEN is missing or wrong");
        }
        if (answer.isEmpty()) {
            answer = route(authenticatedRoutes, call);
        }
        return answer.orElseGet(() ->
                refused("unknown-call", 404, "no call is " + request.method().name() + " " + request.path()));
    }

    private CompletableFuture<OperatorResponse> refused(String type, int status, String detail) {
        metrics.count(REFUSALS_METRIC, type);
        return CompletableFuture.completedFuture(OperatorResponse.problem(status, type, detail));
    }

    private static Optional<CompletableFuture<OperatorResponse>> route(
            List<OperatorRoutes> routes, OperatorRequest call) {
        for (OperatorRoutes candidate : routes) {
            Optional<CompletableFuture<OperatorResponse>> answer;
            try {
                answer = candidate.route(call);
            } catch (RuntimeException e) {
                return Optional.of(CompletableFuture.failedFuture(e));
            }
            if (answer.isPresent()) {
                return answer;
            }
        }
        return Optional.empty();
    }

    private boolean isAuthorized(HttpRequest request) {
        if (token.isEmpty()) {
            return true;
        }
        CharSequence given = request.headers().get(HttpHeaderNames.AUTHORIZATION);
        return given != null
                && MessageDigest.isEqual(
                        ("Bearer " + token).getBytes(StandardCharsets.UTF_8),
                        given.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static List<String> segments(String path) {
        List<String> segments = new ArrayList<>();
        for (String segment : path.split("/")) {
            if (!segment.isEmpty()) {
                segments.add(segment);
            }
        }
        return segments;
    }

    private static OperatorResponse failureResponse(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return FailureResponses.responseTo(cause).orElseGet(() -> {
            LOG.error(LogEvent.of("operator-call-failed").withFailure(cause));
            return OperatorResponse.problem(500, "internal", String.valueOf(cause.getMessage()));
        });
    }

    private static HttpResponse toHttpResponse(
            OperatorResponse answer, HttpServiceContext context, HttpResponseFactory factory) {
        return factory.newResponse(HttpResponseStatus.of(answer.status(), ""))
                .setHeader(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(answer.body().length))
                .payloadBody(context.executionContext().bufferAllocator().wrap(answer.body()));
    }
}
