package io.sequoialink.gateway.http;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hop-by-hop headers, which apply to a single connection and are never forwarded.
 * Stateless.
 */
final class HopByHopHeaders {

	private static final List<CharSequence> NAMES = List.of(HttpHeaderNames.CONNECTION, "keep-alive",
			"proxy-connection", HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION,
			HttpHeaderNames.TE, HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.EXPECT);

	/**
	 * Headers that a Connection header must not remove, because routing depends on them.
	 */
	private static final Set<String> PROTECTED = Set.of("host", "content-length", "content-type");

	private HopByHopHeaders() {
	}

	/**
	 * Copies headers without the hop-by-hop headers.
	 * @param source headers of a message
	 * @return a new set of headers
	 */
	static HttpHeaders strip(HttpHeaders source) {
		HttpHeaders copy = new DefaultHttpHeaders(false);
		copy.set(source);
		for (String named : source.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : named.split(",")) {
				removeNamed(copy, name.trim());
			}
		}
		NAMES.forEach(copy::remove);
		return copy;
	}

	private static void removeNamed(HttpHeaders copy, String name) {
		if (!name.isEmpty() && !PROTECTED.contains(name.toLowerCase(Locale.ROOT))) {
			copy.remove(name);
		}
	}

}
