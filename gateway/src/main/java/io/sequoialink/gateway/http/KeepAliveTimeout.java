package io.sequoialink.gateway.http;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Parses the Keep-Alive header, which states how long a server keeps idle connections
 * open. Stateless.
 */
final class KeepAliveTimeout {

	private static final String TIMEOUT = "timeout=";

	/**
	 * Safety margin in nanoseconds, so that a request arrives before the server closes
	 * the connection.
	 */
	private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private KeepAliveTimeout() {
	}

	/**
	 * Parses the timeout of a Keep-Alive header.
	 * @param header value of the header, or {@code null}
	 * @return how long a connection may be idle and still be reused, in nanoseconds
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
