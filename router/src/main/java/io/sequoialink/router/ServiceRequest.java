package io.sequoialink.router;

import java.util.Map;
import java.util.Objects;

/**
 * A call to a plain service. Immutable by convention: the body array is never modified.
 *
 * @param caller the parameters that the caller sent outside the body
 * @param service the service's name
 * @param method HTTP method
 * @param path path and query of the request URL at the service
 * @param headers headers to forward to the service
 * @param body the request body; may be empty
 */
public record ServiceRequest(CallerContext caller, String service, String method, String path,
		Map<String, String> headers, byte[] body) {

	public ServiceRequest {
		Objects.requireNonNull(caller, "caller");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		headers = Map.copyOf(headers);
		Objects.requireNonNull(body, "body");
	}

}
