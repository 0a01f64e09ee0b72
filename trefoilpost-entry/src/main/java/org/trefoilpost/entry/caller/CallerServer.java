package org.trefoilpost.entry.caller;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpServers;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.trefoilpost.entry.http.ServerConnections;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * The HTTP server that accepts callers' requests.
 */
public final class CallerServer implements StreamingHttpService, AutoCloseable {
    private static final EventLog LOG = EventLog.of(CallerServer.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    /** How long the first request of a new connection may take to arrive. */
    private static final long FIRST_REQUEST_MILLIS = 50;

    private final RequestGateway gateway;
    private final EntryMetrics metrics;
    private final MillisClock clock;
    private final ServerConnections connections;
    private volatile boolean closing;
    private HttpServerContext server;

    private CallerServer(RequestGateway gateway, EntryMetrics metrics, MillisClock clock) {
        this.gateway = gateway;
        this.metrics = metrics;
        this.clock = clock;
        this.connections = ServerConnections.of("callers", clock);
    }

    /**
     * Starts the server.
     *
     * @param listen  the address to listen on; port 0 selects a free port, not null
     * @param gateway  the gateway that requests are submitted to, not null
     * @param metrics  the metrics to update, not null
     * @param clock  the clock for arrival times and deadlines, not null
     * @return the running server, not null
     * @throws Exception if the server cannot listen on the address
     */
    public static CallerServer start(Endpoint listen, RequestGateway gateway, EntryMetrics metrics, MillisClock clock)
            throws Exception {
        CallerServer callerServer = new CallerServer(gateway, metrics, clock);
        callerServer.server = HttpServers.forAddress(new InetSocketAddress(listen.host(), listen.port()))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .ioExecutor(callerServer.connections.thread())
                .transportObserver(callerServer.connections.observer())
                .listenStreamingAndAwait(callerServer);
        return callerServer;
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address, not null
     */
    public Endpoint endpoint() {
        InetSocketAddress address = (InetSocketAddress) server.listenAddress();
        return Endpoint.of(address.getAddress().getHostAddress(), address.getPort());
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        long arrivalMillis = clock.nowMillis();
        return Single.defer(() -> process(context, request, factory, arrivalMillis))
                .onErrorResume(failure -> Single.succeeded(rejectionResponse(failure, factory, arrivalMillis)));
    }

    /**
     * Accepts the connections that are waiting, then stops accepting and waits until the requests that have arrived are
     * answered; then closes.
     *
     * <p>If the wait times out, fails or is interrupted, the remaining connections are closed at once.
     *
     * @param grace  the maximum time to wait, not null
     */
    public void closeGracefully(Duration grace) {
        closing = true;
        try {
            connections.closeGracefully(server, FIRST_REQUEST_MILLIS).get(grace.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOG.warn(LogEvent.of("caller-listener-closed-hard").withFailure(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /**
     * Closes the server and its connections at once.
     */
    @Override
    public void close() {
        connections.close(server);
    }

    private Single<StreamingHttpResponse> process(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory,
            long arrivalMillis) {
        return read(request, arrivalMillis)
                .flatMap(callerRequest -> submit(context, callerRequest)
                        .map(outcome -> outcomeResponse(outcome, factory, arrivalMillis))
                        .onErrorReturn(failure -> writeFailureResponse(failure, factory, arrivalMillis)));
    }

    private Single<CallerRequest> read(StreamingHttpRequest request, long arrivalMillis) {
        gateway.refusalReason().ifPresent(reason -> {
            throw new RejectedRequestException(reason, "the entry takes no requests");
        });
        PoolName name = RequestReader.poolName(request);
        PoolSettings settings = gateway.poolSettings(name)
                .orElseThrow(() -> new RejectedRequestException(
                        RefusalReason.UNKNOWN_POOL, "the configuration in force has no pool '" + name + "'"));
        CallerRequest.Builder builder = RequestReader.read(request, settings, arrivalMillis);
        int limit = settings.maxBodyBytes();
        LimitedBody.check(limit, RequestReader.contentLength(request));
        return request.payloadBody()
                .collect(() -> new LimitedBody(limit), LimitedBody::add)
                .map(body -> builder.body(body.toByteArray()).build());
    }

    private Single<RequestOutcome> submit(HttpServiceContext context, CallerRequest request) {
        return Single.defer(() -> {
            CompletableFuture<RequestOutcome> outcome = gateway.submit(request);
            Cancellable leaving = context.onClosing().subscribe(() -> {
                if (!closing) {
                    outcome.cancel(true);
                }
            });
            Cancellable gone = context.onClose().subscribe(() -> outcome.cancel(true));
            outcome.whenComplete((value, failure) -> {
                leaving.cancel();
                gone.cancel();
            });
            return Single.fromStage(outcome).beforeCancel(() -> outcome.cancel(true));
        });
    }

    private StreamingHttpResponse outcomeResponse(
            RequestOutcome outcome, StreamingHttpResponseFactory factory, long arrivalMillis) {
        StreamingHttpResponse response = ResponseWriter.write(outcome, Optional.empty(), factory);
        metrics.countVerdict(outcome.verdict(), clock.nowMillis() - arrivalMillis);
        return response;
    }

    private StreamingHttpResponse writeFailureResponse(
            Throwable failure, StreamingHttpResponseFactory factory, long arrivalMillis) {
        LOG.error(LogEvent.of("answer-unwritable").withFailure(failure));
        Verdict verdict = Verdict.mayHaveRun(UncertaintyReason.ANSWER_INCOMPLETE);
        return outcomeResponse(RequestOutcome.of(verdict), factory, arrivalMillis);
    }

    private StreamingHttpResponse rejectionResponse(
            Throwable failure, StreamingHttpResponseFactory factory, long arrivalMillis) {
        RefusalReason reason = RefusalReason.MALFORMED;
        if (failure instanceof RejectedRequestException rejection) {
            reason = rejection.reason();
        } else {
            LOG.warn(LogEvent.of("request-unreadable").withFailure(failure));
        }
        Verdict verdict = Verdict.notRun(reason, RETRY_AFTER);
        metrics.countVerdict(verdict, clock.nowMillis() - arrivalMillis);
        StreamingHttpResponse response = ResponseWriter.write(
                RequestOutcome.of(verdict), Optional.of(String.valueOf(failure.getMessage())), factory);
        if (reason == RefusalReason.BODY_TOO_LARGE) {
            response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }
}
