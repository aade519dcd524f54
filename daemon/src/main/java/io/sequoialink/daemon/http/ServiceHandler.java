package io.sequoialink.daemon.http;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import io.sequoialink.model.Identifiers;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.remote.ServiceClient;
import io.sequoialink.router.RefusedException;
import io.sequoialink.router.ServiceRequest;
import io.sequoialink.router.ServiceRouter;

/**
 * Answers {@code /services/NAME/...}. Thread-safe.
 */
final class ServiceHandler implements Handler {

	static final String PREFIX = "/services/";

	private final ServiceRouter router;

	private final HttpLimits limits;

	ServiceHandler(ServiceRouter router, HttpLimits limits) {
		this.router = router;
		this.limits = limits;
	}

	@Override
	public void handle(Exchange exchange) throws RefusedException, IOException {
		String target = exchange.request().requestTarget();
		String rest = target.substring(Math.min(target.length(), target.indexOf(PREFIX) + PREFIX.length()));
		int end = rest.indexOf('/');
		String name = (end < 0) ? rest : rest.substring(0, end);
		if (!Identifiers.valid(name)) {
			throw CallerHeaders.refuse(RefusalCode.NOT_FOUND, "the path names no service: use " + PREFIX + "NAME/...");
		}
		String path = (end < 0) ? "/" : rest.substring(end);
		Map<String, String> headers = new LinkedHashMap<>();
		CharSequence type = exchange.request().headers().get("content-type");
		if (type != null) {
			headers.put("content-type", type.toString());
		}
		CharSequence key = exchange.request().headers().get(CallerHeaders.IDEMPOTENCY_KEY);
		if (key != null) {
			headers.put(CallerHeaders.IDEMPOTENCY_KEY, key.toString());
		}
		ServiceRequest request = new ServiceRequest(CallerHeaders.read(exchange.id(), exchange.request().headers()),
				name, exchange.method(), path, headers, exchange.body(this.limits));
		ServiceClient.ServiceResponse response = this.router.call(request);
		exchange.whole(response.status(), response.contentType(), response.body());
	}

}
