package io.sequoialink.remote;

import java.time.Duration;
import java.util.Map;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.RequestId;

/**
 * Calls to plain services. Implementations are thread-safe; the call blocks.
 */
@FunctionalInterface
public interface ServiceClient {

	/**
	 * Sends one call.
	 * @param server the backend server
	 * @param call the call
	 * @return the whole response, whatever its status
	 * @throws BackendException if no whole response arrived; it says what was done
	 */
	ServiceResponse call(BackendServer server, ServiceCall call) throws BackendException;

	/**
	 * A call to a plain service. Immutable and thread-safe; the body is never written.
	 *
	 * @param request the caller's request
	 * @param method HTTP method
	 * @param path path and query at the service
	 * @param headers headers to pass on
	 * @param body the body
	 * @param timeout time left until the deadline
	 */
	record ServiceCall(RequestId request, String method, String path, Map<String, String> headers, byte[] body,
			Duration timeout) {
	}

	/**
	 * A whole response. Immutable and thread-safe; the body is never written.
	 *
	 * @param status HTTP status
	 * @param contentType the content type
	 * @param body the body
	 */
	record ServiceResponse(int status, String contentType, byte[] body) {
	}

}
