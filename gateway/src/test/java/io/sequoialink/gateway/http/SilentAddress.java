package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * An address on loopback to which connects hang: the queue of its listening socket is
 * full, so that the system drops the opening packets.
 */
public final class SilentAddress implements AutoCloseable {

	private static final int MAX_CONNECTS = 16;

	private static final int TIMEOUT_MILLIS = 60;

	private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());

	private final List<Socket> queue = new ArrayList<>();

	/**
	 * Fills the queue of a listening socket, so that further connects hang.
	 * @throws IOException if connects do not hang
	 */
	public SilentAddress() throws IOException {
		boolean silent = false;
		for (int i = 0; i < MAX_CONNECTS && !silent; i++) {
			silent = fill();
		}
		if (!silent) {
			throw new IOException("connects to " + this.listening + " do not hang");
		}
	}

	private boolean fill() throws IOException {
		Socket socket = new Socket();
		this.queue.add(socket);
		try {
			socket.connect(address(), TIMEOUT_MILLIS);
			return false;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
	}

	/**
	 * Returns the address at which connects hang.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.listening.getLocalPort());
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
		for (Socket socket : this.queue) {
			socket.close();
		}
	}

}
