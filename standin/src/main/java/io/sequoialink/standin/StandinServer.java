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
 * Base class of the simulated HTTP servers. A server listens on the loopback interface
 * and can be stopped and started again on the same port. Thread-safe; start, stop and
 * port are guarded by this object's monitor. Each request runs on a thread that may
 * block.
 */
public abstract class StandinServer implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(StandinServer.class);

	private static final String LOOPBACK_ADDRESS = "127.0.0.1";

	private HttpServerContext server;

	private int port;

	/**
	 * Handles one HTTP request and sends its response.
	 * @param exchange the request and its response
	 * @throws IOException if the caller closed the connection, or if an injected fault
	 * closed it
	 * @throws InterruptedException if the server is stopping
	 */
	abstract void handle(Exchange exchange) throws IOException, InterruptedException;

	/**
	 * Sets the port to listen on; takes effect at the next start.
	 * @param newPort the port, 0 for any free one
	 */
	synchronized void setPort(int newPort) {
		this.port = newPort;
	}

	/**
	 * Starts the server unless it is running. After a stop it listens on the same port
	 * again.
	 * @throws IOException if the server cannot listen on the port
	 */
	public synchronized void start() throws IOException {
		if (this.server != null) {
			return;
		}
		try {
			this.server = HttpServers
				.forAddress(new InetSocketAddress(InetAddress.getByName(LOOPBACK_ADDRESS), this.port))
				.listenBlockingStreamingAndAwait(this::handleRequest);
			this.port = ((InetSocketAddress) this.server.listenAddress()).getPort();
			LOG.debug(StandinEvents.SERVER_STARTED, getClass().getSimpleName(), this.port);
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException("cannot listen on port " + this.port, ex);
		}
	}

	/**
	 * Stops the server: open connections are closed and new ones are refused. Returns
	 * before the port is closed, so a call that follows at once may still connect.
	 */
	public synchronized void stop() {
		if (this.server != null) {
			this.server.closeAsync().subscribe();
			this.server = null;
			LOG.debug(StandinEvents.SERVER_STOPPED, getClass().getSimpleName(), this.port);
		}
	}

	/**
	 * Returns the address of this server; the port is kept while the server is stopped.
	 * @return the loopback address, with port 0 before the first start unless a port was
	 * set
	 */
	public synchronized HttpAddress address() {
		return new HttpAddress(LOOPBACK_ADDRESS, this.port);
	}

	@Override
	public void close() {
		stop();
	}

	private void handleRequest(HttpServiceContext context, BlockingStreamingHttpRequest request,
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
