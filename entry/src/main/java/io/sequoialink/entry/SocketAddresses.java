package io.sequoialink.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Reads addresses without looking up names. Stateless.
 */
final class SocketAddresses {

	private static final int BYTES_OF_IP = 4;

	private static final int MAX_BYTE = 255;

	private static final int MAX_PORT = 65535;

	private SocketAddresses() {
	}

	/**
	 * Reads an address.
	 * @param text an IP address (version 4) and port, as 10.0.0.1:8080
	 * @return the address, empty if the text is none
	 */
	static Optional<InetSocketAddress> parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			return Optional.empty();
		}
		int port = number(text.substring(colon + 1), MAX_PORT);
		Optional<InetAddress> ip = ip(text.substring(0, colon));
		return (port > 0) ? ip.map((address) -> new InetSocketAddress(address, port)) : Optional.empty();
	}

	private static Optional<InetAddress> ip(String text) {
		String[] parts = text.split("\\.", -1);
		byte[] bytes = new byte[BYTES_OF_IP];
		if (parts.length != BYTES_OF_IP) {
			return Optional.empty();
		}
		for (int i = 0; i < BYTES_OF_IP; i++) {
			int number = number(parts[i], MAX_BYTE);
			if (number < 0) {
				return Optional.empty();
			}
			bytes[i] = (byte) number;
		}
		try {
			return Optional.of(InetAddress.getByAddress(bytes));
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("an address of four bytes was refused", ex);
		}
	}

	private static int number(String text, int most) {
		try {
			int number = Integer.parseInt(text);
			return (number >= 0 && number <= most) ? number : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
