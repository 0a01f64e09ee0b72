package org.trefoilpost.cli;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;
import org.trefoilpost.model.Endpoint;

/**
 * Calls the operators' interface of one entry after the other until one answers.
 *
 * <p>A call that changes something goes to the next entry only if no connection was made, so that it can't run twice.
 */
final class ApiClient {
    private static final Logger LOG = Logger.getLogger(ApiClient.class);

    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

    private final Settings settings;

    ApiClient(Settings settings) {
        this.settings = settings;
    }

    ApiResponse call(ApiRequest request, Duration extraWait) throws ApiException {
        List<String> failures = new ArrayList<>();
        for (Endpoint entry : settings.entries()) {
            LOG.debugf("%s %s at %s", request.method(), request.target(), entry);
            try {
                return callEntry(entry, request, settings.timeout().plus(extraWait));
            } catch (ExecutionException | TimeoutException e) {
                Throwable cause = e instanceof ExecutionException ? e.getCause() : e;
                String failure = entry + ": " + describe(cause);
                if (!isConnectFailure(cause) && !request.isRead()) {
                    throw new ApiException(
                            ExitCode.OUTCOME_UNKNOWN, "no answer, may have been carried out: " + failure);
                }
                failures.add(failure);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new ApiException(ExitCode.OUTCOME_UNKNOWN, "interrupted");
            }
        }
        throw new ApiException(ExitCode.UNREACHABLE, "can't reach any entry\n  " + String.join("\n  ", failures));
    }

    private ApiResponse callEntry(Endpoint entry, ApiRequest request, Duration timeout)
            throws ExecutionException, TimeoutException, InterruptedException {
        HttpClient client = HttpClients.forResolvedAddress(new InetSocketAddress(entry.host(), entry.port()))
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .build();
        try {
            Future<HttpResponse> future =
                    client.request(httpRequest(client, request)).toFuture();
            HttpResponse response = future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            String body = response.payloadBody().toString(StandardCharsets.UTF_8);
            return new ApiResponse(response.status().code(), body);
        } finally {
            client.closeAsync().subscribe();
        }
    }

    private HttpRequest httpRequest(HttpClient client, ApiRequest request) {
        HttpRequest httpRequest = client.newRequest(method(request), request.target());
        httpRequest.setHeader("Trefoilpost-Operator", settings.operator());
        settings.token().ifPresent(token -> httpRequest.setHeader("Authorization", "Bearer " + token));
        if (!request.body().isEmpty()) {
            httpRequest.payloadBody(
                    client.executionContext().bufferAllocator().fromSequence(request.body(), StandardCharsets.UTF_8));
        }
        return httpRequest;
    }

    private static HttpRequestMethod method(ApiRequest request) {
        if (request.isRead()) {
            return HttpRequestMethod.GET;
        }
        return request.method().equals("PUT") ? HttpRequestMethod.PUT : HttpRequestMethod.POST;
    }

    private static boolean isConnectFailure(Throwable cause) {
        return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
    }

    private static String describe(Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }
}
