package io.sequoialink.router;

import java.util.Map;
import java.util.Objects;

/**
 * A caller's call to a plain service. Immutable by convention: the body is never written.
 *
 * @param caller what the caller states beside the body
 * @param service the service's name
 * @param method HTTP method
 * @param path path and query at the service
 * @param headers headers to pass on
 * @param body the body
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
