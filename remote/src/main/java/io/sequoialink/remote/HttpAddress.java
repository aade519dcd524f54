package io.sequoialink.remote;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * A numeric address and a TCP port. Immutable and thread-safe; no name is ever resolved.
 *
 * @param ip numeric IPv4 or IPv6 address
 * @param port TCP port, 1 to 65535
 */
public record HttpAddress(String ip, int port) {

	private static final Pattern NUMERIC = Pattern
		.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9A-Fa-f]*:[0-9A-Fa-f:]*(\\d{1,3}(\\.\\d{1,3}){3})?");

	private static final int MAX_PORT = 65_535;

	public HttpAddress {
		if (ip == null || !NUMERIC.matcher(ip).matches()) {
			throw new IllegalArgumentException("address '" + ip + "' is not accepted: use a numeric IP address");
		}
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port " + port + " is not accepted: use 1 to " + MAX_PORT);
		}
	}

	/**
	 * Parses an address with its port.
	 * @param text {@code 10.0.0.1:8080} or {@code [fd00::1]:8080}
	 * @return the address
	 * @throws IllegalArgumentException if the text is no numeric address with a port
	 */
	public static HttpAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			String ip = text.substring(0, Math.max(colon, 0));
			boolean bracketed = ip.startsWith("[") && ip.endsWith("]");
			return new HttpAddress(bracketed ? ip.substring(1, ip.length() - 1) : ip,
					Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("address '" + text + "' is not accepted: use ip:port, as 10.0.0.1:8080",
					ex);
		}
	}

	/**
	 * Returns the address for a socket.
	 * @return a resolved socket address
	 */
	public InetSocketAddress socketAddress() {
		try {
			return new InetSocketAddress(InetAddress.getByName(this.ip), this.port);
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("address '" + this.ip + "' is not accepted: use a numeric IP address",
					ex);
		}
	}

	@Override
	public String toString() {
		return ((this.ip.indexOf(':') >= 0) ? "[" + this.ip + "]" : this.ip) + ":" + this.port;
	}

}
