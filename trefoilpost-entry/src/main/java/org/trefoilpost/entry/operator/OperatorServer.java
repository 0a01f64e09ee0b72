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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.trefoilpost.entry.http.OpenReplies;
import org.trefoilpost.entry.http.ServerConnections;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.Endpoint;

/**
 * The HTTP server for operators.
 */
public final class OperatorServer implements HttpService, AutoCloseable {
    private static final EventLog LOG = EventLog.of(OperatorServer.class);
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final String STOPPING = "shutting-down";
    /** The longest wait for calls in progress at a close, in milliseconds. */
    private static final long CALL_MILLIS = 1_000;
    /** How long the first call of a new connection may take to arrive, in milliseconds. */
    private static final long FIRST_CALL_MILLIS = 50;
    /** The longest wait for the answers to be written at a close, in milliseconds. */
    private static final long WRITE_MILLIS = 500;

    private static final String REFUSALS_METRIC = "trefoilpost.operator.refused";

    private final String token;
    private final List<OperatorRoutes> publicRoutes;
    private final List<OperatorRoutes> authenticatedRoutes;
    private final EntryMetrics metrics;
    private final OpenReplies<OperatorResponse> openReplies = new OpenReplies<>();
    private final ServerConnections connections;
    private volatile boolean closing;
    private HttpServerContext server;

    private OperatorServer(
            String token,
            List<OperatorRoutes> publicRoutes,
            List<OperatorRoutes> authenticatedRoutes,
            EntryMetrics metrics,
            MillisClock clock) {
        this.token = token;
        this.publicRoutes = publicRoutes;
        this.authenticatedRoutes = authenticatedRoutes;
        this.metrics = metrics;
        this.connections = ServerConnections.of("operators", clock);
    }

    /**
     * Starts the server.
     *
     * @param listen  the address to listen on, not null
     * @param token  the bearer token that operators must send, an empty string if none is required, not null
     * @param services  the services that handle requests, not null
     * @return the server, not null
     * @throws Exception if the server cannot listen on the address
     */
    public static OperatorServer start(Endpoint listen, String token, OperatorServices services) throws Exception {
        List<OperatorRoutes> publicRoutes = List.of(new HealthRoutes(services));
        List<OperatorRoutes> authenticatedRoutes = List.of(
                new StatusRoutes(services),
                new ConfigurationRoutes(services),
                new PoolRoutes(services),
                new PlanRoutes(services));
        return start(
                listen,
                new OperatorServer(token, publicRoutes, authenticatedRoutes, services.metrics(), services.clock()));
    }

    /**
     * Starts a server whose operations need no token.
     *
     * @param listen  the address to listen on, not null
     * @param routes  the operations, not null
     * @param metrics  the metrics to update, not null
     * @param clock  the clock in milliseconds, not null
     * @return the server, not null
     * @throws Exception if the server cannot listen on the address
     */
    static OperatorServer start(Endpoint listen, List<OperatorRoutes> routes, EntryMetrics metrics, MillisClock clock)
            throws Exception {
        return start(listen, new OperatorServer("", routes, List.of(), metrics, clock));
    }

    private static OperatorServer start(Endpoint listen, OperatorServer operatorServer) throws Exception {
        operatorServer.server = HttpServers.forAddress(new InetSocketAddress(listen.host(), listen.port()))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .ioExecutor(operatorServer.connections.thread())
                .transportObserver(operatorServer.connections.observer())
                .listenAndAwait(operatorServer);
        return operatorServer;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address, not null
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) server.listenAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        CompletableFuture<OperatorResponse> answer =
                closing ? refusedAtStop() : respond(request).exceptionally(OperatorServer::failureResponse);
        openReplies.add(answer);
        return Single.fromStage(answer).map(response -> toHttpResponse(response, context, factory));
    }

    /**
     * Waits for the calls in progress and answers those that are left, and those of the connections that wait to be
     * accepted or were opened just now; then closes the server and its connections. To be called before the services that
     * handle the calls are closed.
     */
    @Override
    public void close() {
        close(WRITE_MILLIS);
    }

    /**
     * Closes the server as {@link #close()} does.
     *
     * @param writeMillis  the longest wait for the answers to be written, in milliseconds
     */
    void close(long writeMillis) {
        closing = true;
        try {
            awaitOpenReplies();
            openReplies.completeAll(OperatorServer::unfinishedResponse);
            connections.closeGracefully(server, FIRST_CALL_MILLIS).get(writeMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOG.warn(LogEvent.of("operator-listener-closed-hard").withFailure(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.close(server);
        }
    }

    private void awaitOpenReplies() throws InterruptedException, ExecutionException {
        try {
            openReplies.allEnded().get(CALL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.info(LogEvent.of("operator-calls-unfinished").with("calls", openReplies.count()));
        }
    }

    private CompletableFuture<OperatorResponse> refusedAtStop() {
        metrics.count(REFUSALS_METRIC, STOPPING);
        return CompletableFuture.completedFuture(stoppingResponse("refused", "the entry stops; ask another entry"));
    }

    private static OperatorResponse unfinishedResponse() {
        return stoppingResponse("unknown", "the entry stops before the call is done; ask another entry for its result");
    }

    private static OperatorResponse stoppingResponse(String outcome, String detail) {
        return OperatorResponse.problem(
                503, STOPPING, detail, OperatorResponse.newObject().put("outcome", outcome));
    }

    private CompletableFuture<OperatorResponse> respond(HttpRequest request) {
        byte[] body = new byte[request.payloadBody().readableBytes()];
        if (body.length > MAX_BODY_BYTES) {
            return refused("body-too-large", 413, "the body has " + body.length + " bytes; at most 1 MiB is allowed");
        }
        request.payloadBody().readBytes(body);
        OperatorRequest operatorRequest =
                OperatorRequest.of(request.method().name(), segments(request.path()), request::queryParameter, body);
        Optional<CompletableFuture<OperatorResponse>> response = route(publicRoutes, operatorRequest);
        if (response.isEmpty() && !isAuthorized(request)) {
            return refused(
                    "wrong-token", 401, "the header Authorization: Bearer TOKEN is missing or has the wrong token");
        }
        if (response.isEmpty()) {
            response = route(authenticatedRoutes, operatorRequest);
        }
        return response.orElseGet(() -> refused(
                "unknown-call", 404, "no operation matches " + request.method().name() + " " + request.path()));
    }

    private CompletableFuture<OperatorResponse> refused(String type, int status, String detail) {
        metrics.count(REFUSALS_METRIC, type);
        return CompletableFuture.completedFuture(OperatorResponse.problem(status, type, detail));
    }

    private static Optional<CompletableFuture<OperatorResponse>> route(
            List<OperatorRoutes> routes, OperatorRequest operatorRequest) {
        for (OperatorRoutes candidate : routes) {
            Optional<CompletableFuture<OperatorResponse>> response;
            try {
                response = candidate.route(operatorRequest);
            } catch (RuntimeException e) {
                return Optional.of(CompletableFuture.failedFuture(e));
            }
            if (response.isPresent()) {
                return response;
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
            OperatorResponse response, HttpServiceContext context, HttpResponseFactory factory) {
        return factory.newResponse(HttpResponseStatus.of(response.status(), ""))
                .setHeader(HttpHeaderNames.CONTENT_TYPE, response.contentType())
                .setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(response.body().length))
                .payloadBody(context.executionContext().bufferAllocator().wrap(response.body()));
    }
}
