package io.sequoialink.gateway.http;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Reads how long a server keeps idle connections. Stateless.
 */
final class KeepAliveTimeout {

	private static final String TIMEOUT = "timeout=";

	/** Time that a request needs on its way before the server closes, in nanoseconds. */
	private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private KeepAliveTimeout() {
	}

	/**
	 * Reads the timeout of a keep-alive header.
	 * @param header value of the header, or {@code null}
	 * @return how long a connection may rest before it is used, in nanoseconds
	 */
	static OptionalLong parse(String header) {
		if (header == null) {
			return OptionalLong.empty();
		}
		for (String part : header.split(",")) {
			String trimmed = part.trim();
			if (trimmed.startsWith(TIMEOUT)) {
				return seconds(trimmed.substring(TIMEOUT.length()));
			}
		}
		return OptionalLong.empty();
	}

	private static OptionalLong seconds(String text) {
		try {
			long nanos = TimeUnit.SECONDS.toNanos(Long.parseLong(text.trim()));
			return OptionalLong.of(Math.max(0, nanos - MARGIN_NANOS));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

}
