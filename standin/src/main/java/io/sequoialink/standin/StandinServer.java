package io.sequoialink.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

import io.sequoialink.remote.HttpAddress;
import io.servicetalk.http.api.BlockingStreamingHttpRequest;
import io.servicetalk.http.api.BlockingStreamingHttpServerResponse;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP server on loopback that can be taken down and brought back at the same address.
 * Thread-safe; the server is guarded by this object's monitor. A request is handled on a
 * thread of its own, which may block.
 */
public abstract class StandinServer implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(StandinServer.class);

	private static final String LOOPBACK = "127.0.0.1";

	private HttpServerContext server;

	private int port;

	/**
	 * Handles one request.
	 * @param exchange the request
	 * @throws IOException if the caller is gone or the connection was broken on purpose
	 * @throws InterruptedException if the server is stopping
	 */
	abstract void handle(Exchange exchange) throws IOException, InterruptedException;

	/**
	 * Sets the port, before the first start.
	 * @param fixed the port, 0 for any free one
	 */
	synchronized void port(int fixed) {
		this.port = fixed;
	}

	/**
	 * Starts the server, on the port that it had before if it was up before.
	 * @throws IOException if the port can't be had
	 */
	public synchronized void up() throws IOException {
		if (this.server != null) {
			return;
		}
		try {
			this.server = HttpServers.forAddress(new InetSocketAddress(InetAddress.getByName(LOOPBACK), this.port))
				.listenBlockingStreamingAndAwait(this::dispatch);
			this.port = ((InetSocketAddress) this.server.listenAddress()).getPort();
			LOG.debug(StandinEvents.UP, getClass().getSimpleName(), this.port);
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException("no server on port " + this.port, ex);
		}
	}

	/**
	 * Takes the server down: connections break and new ones are refused.
	 */
	public synchronized void down() {
		if (this.server != null) {
			this.server.closeAsync().subscribe();
			this.server = null;
			LOG.debug(StandinEvents.DOWN, getClass().getSimpleName(), this.port);
		}
	}

	/**
	 * Returns the address, also while the server is down.
	 * @return a loopback address
	 */
	public synchronized HttpAddress address() {
		return new HttpAddress(LOOPBACK, this.port);
	}

	@Override
	public void close() {
		down();
	}

	private void dispatch(HttpServiceContext context, BlockingStreamingHttpRequest request,
			BlockingStreamingHttpServerResponse response) throws IOException {
		try {
			handle(new Exchange(context, request, response));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

}
