package io.sequoialink.remote;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.http.api.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.http.utils.TimeoutHttpRequesterFilter;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfig;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One HTTP client an address, shared by all clients of this module. Thread-safe. At most
 * the given number of clients is kept; the one that was idle longest is closed
 * gracefully, so that its calls in flight end. No client repeats a call by itself. Lock:
 * the map of clients is guarded by its own monitor, under which nothing blocks.
 */
public final class HttpClientPool implements AutoCloseable {

	/** The number of addresses for which a client is kept, when none is stated. */
	public static final int DEFAULT_MAX_CLIENTS = 256;

	/** The connect timeout when none is stated. */
	public static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Logger LOG = LoggerFactory.getLogger(HttpClientPool.class);

	private static final int NO_HEALTH_CHECK = -1;

	private final Map<HttpAddress, StreamingHttpClient> clients = new LinkedHashMap<>(16, 0.75f, true);

	private final int maxClients;

	private final Duration connectTimeout;

	private boolean closed;

	/**
	 * Creates a pool with the default bounds.
	 */
	public HttpClientPool() {
		this(DEFAULT_MAX_CLIENTS, DEFAULT_CONNECT_TIMEOUT);
	}

	/**
	 * Creates a pool.
	 * @param maxClients the most addresses for which a client is kept
	 * @param connectTimeout the longest time that a connection may take to open
	 */
	public HttpClientPool(int maxClients, Duration connectTimeout) {
		if (maxClients < 1) {
			throw new IllegalArgumentException("a pool of " + maxClients + " clients is not accepted: use 1 or more");
		}
		this.maxClients = maxClients;
		this.connectTimeout = connectTimeout;
	}

	/**
	 * Returns the number of clients that are kept now.
	 * @return a number from 0 to the bound
	 */
	public int size() {
		synchronized (this.clients) {
			return this.clients.size();
		}
	}

	/**
	 * Closes all clients; calls in flight may end, new ones are refused.
	 */
	@Override
	public void close() {
		synchronized (this.clients) {
			this.closed = true;
			this.clients.forEach(this::retire);
			this.clients.clear();
		}
	}

	StreamingHttpClient client(HttpAddress address) {
		synchronized (this.clients) {
			if (this.closed) {
				throw new IllegalStateException("the pool of HTTP clients is closed");
			}
			StreamingHttpClient client = this.clients.computeIfAbsent(address, this::open);
			if (this.clients.size() > this.maxClients) {
				Map.Entry<HttpAddress, StreamingHttpClient> oldest = this.clients.entrySet().iterator().next();
				this.clients.remove(oldest.getKey());
				retire(oldest.getKey(), oldest.getValue());
			}
			return client;
		}
	}

	private StreamingHttpClient open(HttpAddress address) {
		return HttpClients.forResolvedAddress(address.socketAddress())
			.protocols(HttpProtocolConfigs.h1().headersFactory(HeaderRules.VALIDATING).build())
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) this.connectTimeout.toMillis())
			.loadBalancerFactory(new DefaultHttpLoadBalancerFactory<>(withoutEjection()))
			.appendClientFilter(new TimeoutHttpRequesterFilter((request, clock) -> HttpCall.timeoutOf(request), true))
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
			.buildStreaming();
	}

	private static LoadBalancerFactory<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection> withoutEjection() {
		return LoadBalancers.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder("sequoialink")
			.outlierDetectorConfig(new OutlierDetectorConfig.Builder().failedConnectionsThreshold(NO_HEALTH_CHECK)
				.maxEjectionPercentage(0)
				.enforcingConsecutive5xx(0)
				.enforcingSuccessRate(0)
				.enforcingFailurePercentage(0)
				.build())
			.build();
	}

	private void retire(HttpAddress address, StreamingHttpClient client) {
		LOG.debug(RemoteEvents.CLIENT_CLOSED, address);
		client.closeAsyncGracefully().subscribe();
	}

}
