package io.sequoialink.remote;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Effect;

/**
 * Calls to plain services over HTTP. Immutable and thread-safe. A response by which the
 * service says that nothing was executed is reported as rejected; every other whole
 * response is returned whatever its status.
 */
public final class HttpServiceClient implements ServiceClient {

	/** The header that carries the caller's request. */
	public static final String REQUEST_HEADER = "x-request-id";

	private final HttpClientPool pool;

	/**
	 * Creates a client.
	 * @param pool the shared HTTP clients
	 */
	public HttpServiceClient(HttpClientPool pool) {
		this.pool = pool;
	}

	@Override
	public ServiceResponse call(BackendServer server, ServiceCall call) throws BackendException {
		HttpAddress address = new HttpAddress(server.ip(), server.port());
		HttpAnswer answer = HttpCall.to(this.pool, address, call.method(), call.path(), call.timeout())
			.headers(call.headers())
			.header(REQUEST_HEADER, call.request().value())
			.body(call.body())
			.send();
		if (!answer.ok() && answer.effect() == Effect.NONE) {
			answer.orRefusal(address);
		}
		return new ServiceResponse(answer.status(), answer.contentType(), answer.body());
	}

}
