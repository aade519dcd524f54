package io.sequoialink.soak;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Free ports of loopback, none handed out twice by one process: the system may give a
 * port again that was only looked up. Safe for threads.
 */
public final class FreePorts {

	private static final Set<Integer> HANDED_OUT = new HashSet<>();

	private FreePorts() {
	}

	/**
	 * Returns a port that is free for TCP.
	 * @return the port
	 * @throws IOException if there is none
	 */
	public static synchronized int tcp() throws IOException {
		int port;
		do {
			try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				port = socket.getLocalPort();
			}
		}
		while (!HANDED_OUT.add(port));
		return port;
	}

	/**
	 * Returns a port that is free for UDP.
	 * @return the port
	 * @throws IOException if there is none
	 */
	public static synchronized int udp() throws IOException {
		int port;
		do {
			try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
				port = socket.getLocalPort();
			}
		}
		while (!HANDED_OUT.add(port));
		return port;
	}

}
