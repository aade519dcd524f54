package io.sequoialink.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Parses IPv4 socket addresses without DNS lookups.
 */
final class SocketAddresses {

	private static final int IPV4_BYTES = 4;

	private static final int MAX_BYTE = 255;

	private static final int MAX_PORT = 65535;

	private SocketAddresses() {
	}

	/**
	 * Parses an address.
	 * @param text an IPv4 address and a port, such as 10.0.0.1:8080
	 * @return the address, empty if the text is invalid
	 */
	static Optional<InetSocketAddress> parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			return Optional.empty();
		}
		int port = parseNumber(text.substring(colon + 1), MAX_PORT);
		Optional<InetAddress> ip = parseIp(text.substring(0, colon));
		return (port > 0) ? ip.map((address) -> new InetSocketAddress(address, port)) : Optional.empty();
	}

	private static Optional<InetAddress> parseIp(String text) {
		String[] parts = text.split("\\.", -1);
		byte[] bytes = new byte[IPV4_BYTES];
		if (parts.length != IPV4_BYTES) {
			return Optional.empty();
		}
		for (int i = 0; i < IPV4_BYTES; i++) {
			int number = parseNumber(parts[i], MAX_BYTE);
			if (number < 0) {
				return Optional.empty();
			}
			bytes[i] = (byte) number;
		}
		try {
			return Optional.of(InetAddress.getByAddress(bytes));
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("an IPv4 address of four bytes was rejected", ex);
		}
	}

	private static int parseNumber(String text, int max) {
		try {
			int number = Integer.parseInt(text);
			return (number >= 0 && number <= max) ? number : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
