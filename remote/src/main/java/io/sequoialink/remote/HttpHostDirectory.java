package io.sequoialink.remote;

import java.time.Duration;
import java.util.List;

import io.sequoialink.model.BackendServer;

/**
 * The platform's list of backend servers over HTTP. Immutable and thread-safe.
 */
public final class HttpHostDirectory implements HostDirectory {

	private final HttpClientPool pool;

	private final HttpAddress address;

	private final Duration timeout;

	/**
	 * Creates a client of the list.
	 * @param pool the shared HTTP clients
	 * @param address the list's address
	 * @param timeout the longest time for one call
	 */
	public HttpHostDirectory(HttpClientPool pool, HttpAddress address, Duration timeout) {
		this.pool = pool;
		this.address = address;
		this.timeout = timeout;
	}

	@Override
	public List<BackendServer> list() throws PlatformException {
		return HttpCall.to(this.pool, this.address, "GET", "/v1/servers", this.timeout)
			.send()
			.orRefusal(this.address)
			.as(Listing.class)
			.servers();
	}

	/**
	 * What the list answers. Immutable and thread-safe.
	 *
	 * @param servers live and leaving servers
	 */
	record Listing(List<BackendServer> servers) {
	}

}
