package io.sequoialink.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.sequoialink.model.Effect;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.HeaderRules;
import io.sequoialink.router.RefusedException;
import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP server of an entry host. Thread-safe. Requests of callers run on a bounded
 * pool of workers; health and metrics are answered also while that pool is full or
 * draining.
 */
public final class Frontend implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Frontend.class);

	private static final int SPARE_WORKERS = 64;

	private static final int CORE_WORKERS = 16;

	private static final long IDLE_SECONDS = 30;

	private final List<Route> routes = new ArrayList<>();

	private final InFlight inFlight;

	private final Supplier<RequestId> ids;

	private final ThreadPoolExecutor workers;

	private final int maxHeaderBytes;

	private volatile ServerContext server;

	/**
	 * Creates a server without routes.
	 * @param limits bounds on callers
	 * @param ids mints request identifiers
	 */
	public Frontend(HttpLimits limits, Supplier<RequestId> ids) {
		this.inFlight = new InFlight(limits.maxInFlight());
		this.ids = ids;
		this.maxHeaderBytes = limits.maxHeaderBytes();
		AtomicInteger number = new AtomicInteger();
		this.workers = new ThreadPoolExecutor(CORE_WORKERS, limits.maxInFlight() + SPARE_WORKERS, IDLE_SECONDS,
				TimeUnit.SECONDS, new SynchronousQueue<>(), (task) -> {
					Thread thread = new Thread(task, "worker-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
	}

	void route(String method, String path, boolean counted, Handler handler) {
		this.routes.add(new Route(method, path, counted, handler));
	}

	/**
	 * Returns the requests in progress.
	 * @return the counter
	 */
	public InFlight inFlight() {
		return this.inFlight;
	}

	/**
	 * Starts to listen.
	 * @param ip numeric address
	 * @param port port to bind, 0 for any free one
	 * @return the port
	 * @throws Exception if the address can't be bound
	 */
	public int start(String ip, int port) throws Exception {
		this.server = HttpServers.forAddress(new InetSocketAddress(ip, port))
			.executor(Executors.from(this.workers))
			.protocols(HttpProtocolConfigs.h1()
				.headersFactory(HeaderRules.VALIDATING)
				.maxHeaderFieldLength(this.maxHeaderBytes)
				.build())
			.listenBlockingStreamingAndAwait(this::handle);
		InetSocketAddress address = (InetSocketAddress) this.server.listenAddress();
		LOG.info(HttpEvents.LISTENING, address);
		return address.getPort();
	}

	private void handle(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response) throws Exception {
		Exchange exchange = new Exchange(context, request, response, this.ids.get());
		try {
			CallerHeaders.requireKnownLength(request.headers());
			Route route = find(exchange);
			if (route.counted()) {
				counted(route, exchange);
			}
			else {
				route.handler().handle(exchange);
			}
		}
		catch (RefusedException ex) {
			exchange.refuse(ex.refusal());
		}
		catch (IOException ex) {
			LOG.info(HttpEvents.CALLER_GONE, exchange.id());
		}
		catch (RuntimeException ex) {
			LOG.error(HttpEvents.HANDLER_FAILED, exchange.method(), exchange.path(), ex);
			if (exchange.begun()) {
				throw ex;
			}
			exchange.refuse(new Refusal(RefusalCode.INTERNAL, "the host failed", Effect.UNKNOWN, Optional.empty()));
		}
	}

	private void counted(Route route, Exchange exchange) throws RefusedException, IOException {
		switch (this.inFlight.enter()) {
			case DRAINING ->
				throw new RefusedException(Refusal.notRun(RefusalCode.DRAINING, "this host is shutting down")
					.retryAfter(Duration.ofSeconds(1)));
			case FULL -> throw new RefusedException(
					Refusal.notRun(RefusalCode.OVERLOADED, "this host has too many requests in progress")
						.retryAfter(Duration.ofSeconds(1)));
			default -> {
				try {
					route.handler().handle(exchange);
				}
				finally {
					this.inFlight.leave();
				}
			}
		}
	}

	private Route find(Exchange exchange) throws RefusedException {
		boolean known = false;
		for (Route route : this.routes) {
			boolean same = (route.path().length() > 1 && route.path().endsWith("/"))
					? exchange.path().startsWith(route.path()) : exchange.path().equals(route.path());
			if (same && (route.method().isEmpty() || route.method().equals(exchange.method()))) {
				return route;
			}
			known |= same;
		}
		throw CallerHeaders.refuse(known ? RefusalCode.BAD_REQUEST : RefusalCode.NOT_FOUND,
				known ? "method " + exchange.method() + " is not accepted here" : "the path does not exist");
	}

	/**
	 * Stops gracefully: refuses new requests, waits for those in progress, then closes.
	 * @param patience the longest time to wait
	 * @return the requests that were cut off
	 */
	public int drain(Duration patience) {
		this.inFlight.drain();
		LOG.info(HttpEvents.DRAINING, this.inFlight.count(), patience.toMillis());
		int left = this.inFlight.count();
		try {
			left = this.inFlight.await(patience);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LOG.info(HttpEvents.DRAINED, left);
		return left;
	}

	/**
	 * Closes after the responses that were written have left, for a drained host.
	 */
	public void closeGracefully() {
		close(ServerContext::closeGracefully);
	}

	/**
	 * Closes at once and cuts off what is in progress.
	 */
	@Override
	public void close() {
		close(ServerContext::close);
	}

	private void close(Closing closing) {
		ServerContext open = this.server;
		if (open != null) {
			try {
				closing.close(open);
			}
			catch (Exception ex) {
				LOG.warn(HttpEvents.CLOSE_FAILED, ex.getMessage());
			}
		}
		this.workers.shutdownNow();
	}

	/** A way to close the server. */
	@FunctionalInterface
	private interface Closing {

		/**
		 * Closes the server.
		 * @param open the server
		 * @throws Exception if it could not be closed in order
		 */
		void close(ServerContext open) throws Exception;

	}

	private record Route(String method, String path, boolean counted, Handler handler) {
	}

}
