package io.sequoialink.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Finds free ports on loopback and returns no port twice in one process. Thread-safe.
 *
 * <p>
 * The ports are below the ephemeral range (32768 and above on Linux), from which the
 * system assigns ports to outgoing connections. Otherwise such a connection could occupy
 * a port before the host listens on it, or while the host restarts.
 */
public final class FreePorts {

	private static final int LOWEST = 20_000;

	private static final int HIGHEST = 32_000;

	private static final int MAX_TRIES = 1000;

	private static final Set<Integer> HANDED_OUT = new HashSet<>();

	/** Seeded per process, so that concurrent processes try different ports. */
	private static final Random RANDOM = new Random(System.nanoTime() ^ ProcessHandle.current().pid());

	private FreePorts() {
	}

	/**
	 * Returns a port that is free for TCP.
	 * @return the port
	 * @throws IOException if no free port is found
	 */
	public static synchronized int tcp() throws IOException {
		return find((port) -> new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close());
	}

	/**
	 * Returns a port that is free for UDP and TCP, on which a host listens for others.
	 * @return the port
	 * @throws IOException if no free port is found
	 */
	public static synchronized int udp() throws IOException {
		return find((port) -> {
			new DatagramSocket(port, InetAddress.getLoopbackAddress()).close();
			new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
		});
	}

	private static int find(Binding binding) throws IOException {
		BindException last = null;
		for (int i = 0; i < MAX_TRIES; i++) {
			int port = LOWEST + RANDOM.nextInt(HIGHEST - LOWEST);
			try {
				binding.tryOut(port);
				if (HANDED_OUT.add(port)) {
					return port;
				}
			}
			catch (BindException ex) {
				last = ex;
			}
		}
		throw new IOException("found no free port from " + LOWEST + " to " + HIGHEST, last);
	}

	/** Binds a socket to a port and closes it; fails if the port is in use. */
	@FunctionalInterface
	private interface Binding {

		void tryOut(int port) throws IOException;

	}

}
