package org.trefoilpost.entry.http;

import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.HostAndPort;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import org.trefoilpost.model.Endpoint;

/**
 * Creates HTTP clients that send each request at most once.
 *
 * <p>The library's retries and its ejection of unhealthy addresses are disabled: only the dispatcher decides on retries,
 * and it needs to know whether a request was sent.
 */
public final class HttpClientFactory {
    /** The timeout of a connection attempt. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int NO_HEALTH_CHECK = -1;

    private HttpClientFactory() {}

    /**
     * Creates a client for one address.
     *
     * @param endpoint  the address to connect to, not null
     * @return the client, not null
     */
    public static StreamingHttpClient create(Endpoint endpoint) {
        return builder(endpoint).buildStreaming();
    }

    /**
     * Creates a client for one address that resets its connections when it closes them, which discards bytes that are
     * not delivered yet.
     *
     * @param endpoint  the address to connect to, not null
     * @return the client, not null
     */
    public static StreamingHttpClient createWithResetOnClose(Endpoint endpoint) {
        return builder(endpoint)
                .socketOption(StandardSocketOptions.SO_LINGER, 0)
                .buildStreaming();
    }

    private static SingleAddressHttpClientBuilder<HostAndPort, InetSocketAddress> builder(Endpoint endpoint) {
        SingleAddressHttpClientBuilder<HostAndPort, InetSocketAddress> builder =
                HttpClients.forResolvedAddress(endpoint.host(), endpoint.port());
        return builder.executionStrategy(HttpExecutionStrategies.offloadNone())
                .protocols(HttpProtocolConfigs.h1().maxPipelinedRequests(1).build())
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
                .loadBalancerFactory(withoutHealthCheck())
                .appendClientFilter(withoutRetries());
    }

    @SuppressWarnings("deprecation")
    private static HttpLoadBalancerFactory<InetSocketAddress> withoutHealthCheck() {
        LoadBalancerFactory<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection> single =
                RoundRobinLoadBalancers.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(
                                "single-address")
                        .healthCheckFailedConnectionsThreshold(NO_HEALTH_CHECK)
                        .build();
        return DefaultHttpLoadBalancerFactory.Builder.<InetSocketAddress>from(single)
                .build();
    }

    private static RetryingHttpRequesterFilter withoutRetries() {
        return new RetryingHttpRequesterFilter.Builder()
                .waitForLoadBalancer(true)
                .retryRetryableExceptions((request, failure) -> RetryingHttpRequesterFilter.BackOffPolicy.ofNoRetries())
                .build();
    }
}
