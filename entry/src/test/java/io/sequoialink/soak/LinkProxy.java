package io.sequoialink.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * TCP proxy on loopback that can delay or drop data, drop it in one direction, or reset
 * connections, and can take no new connections, so that connects hang or are refused.
 * Thread-safe.
 */
final class LinkProxy implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(LinkProxy.class);

	private static final int DELAY_MILLIS = 120;

	private static final int BACKLOG = 200;

	/**
	 * Buffers of the sockets, so small that a long upload does not fit into them, in
	 * bytes.
	 */
	private static final int BUFFER_BYTES = 32 << 10;

	/** Connects that fill the queue of a socket that does not accept. */
	private static final int MAX_FILLING = 16;

	private static final int FILL_TIMEOUT_MILLIS = 60;

	private final InetSocketAddress address;

	private final List<Socket> filling = new ArrayList<>();

	private volatile ServerSocket serverSocket;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private Thread acceptThread;

	private volatile InetSocketAddress target;

	private volatile Mode mode = Mode.PASS;

	LinkProxy(InetSocketAddress target) throws IOException {
		this(target, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	/**
	 * Creates a proxy that forwards everything.
	 * @param target address to forward to
	 * @param local address to listen on
	 */
	LinkProxy(InetSocketAddress target, InetSocketAddress local) throws IOException {
		this.target = target;
		this.serverSocket = listen(local, BACKLOG);
		this.address = new InetSocketAddress(local.getAddress(), this.serverSocket.getLocalPort());
		this.acceptThread = startAccepting(this.serverSocket);
	}

	private static ServerSocket listen(InetSocketAddress local, int backlog) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReceiveBufferSize(BUFFER_BYTES);
		socket.bind(local, backlog);
		return socket;
	}

	private Thread startAccepting(ServerSocket socket) {
		return DaemonThreads.start("link", () -> acceptConnections(socket));
	}

	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Changes what becomes of new connections. Those that exist are left as they are.
	 * @param taking what becomes of them from now on
	 */
	synchronized void setNewConnections(NewConnections taking) throws IOException {
		DaemonThreads.stopListening(this.serverSocket, this.acceptThread);
		for (Socket socket : this.filling) {
			socket.close();
		}
		this.filling.clear();
		if (taking == NewConnections.REFUSED) {
			return;
		}
		int backlog = (taking == NewConnections.SILENT) ? 1 : BACKLOG;
		this.serverSocket = listen(this.address, backlog);
		if (taking == NewConnections.SILENT) {
			fillQueue();
		}
		else {
			this.acceptThread = startAccepting(this.serverSocket);
		}
	}

	// The system drops the opening packets of further connections once the queue is full.
	private void fillQueue() throws IOException {
		for (int i = 0; i < MAX_FILLING; i++) {
			Socket socket = new Socket();
			this.filling.add(socket);
			try {
				socket.connect(this.address, FILL_TIMEOUT_MILLIS);
			}
			catch (SocketTimeoutException ex) {
				return;
			}
		}
		throw new IOException("connections to " + this.address + " do not hang");
	}

	int port() {
		return this.address.getPort();
	}

	void setTarget(InetSocketAddress newTarget) {
		this.target = newTarget;
	}

	/**
	 * Changes how data is forwarded; {@link Mode#RESET} also resets all open connections.
	 * @param newMode mode from now on
	 */
	void setMode(Mode newMode) {
		this.mode = newMode;
		if (newMode == Mode.RESET) {
			this.sockets.forEach(LinkProxy::reset);
		}
	}

	private void acceptConnections(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				Socket inbound = socket.accept();
				this.sockets.add(inbound);
				DaemonThreads.start("link-open", () -> connectToTarget(inbound));
			}
			catch (IOException ex) {
				if (!socket.isClosed()) {
					logger.warn("proxy accepts no more connections: {}", ex.toString());
				}
				return;
			}
		}
	}

	private void connectToTarget(Socket inbound) {
		Mode now = this.mode;
		if (now == Mode.RESET) {
			reset(inbound);
			return;
		}
		try {
			Socket outbound = new Socket();
			outbound.setSendBufferSize(BUFFER_BYTES);
			this.sockets.add(outbound);
			outbound.connect(this.target, 1000);
			DaemonThreads.start("link-requests", () -> forward(inbound, outbound, false));
			forward(outbound, inbound, true);
		}
		catch (IOException ex) {
			// the target is not reachable: the caller sees a reset connection
			reset(inbound);
		}
	}

	// A connection that has lost data passes nothing on any more and is reset at its end:
	// TCP delivers neither later data nor the regular end of a connection after a gap.
	private void forward(Socket from, Socket to, boolean fromTarget) {
		byte[] bytes = new byte[16384];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			boolean complete = true;
			int length = in.read(bytes);
			while (length >= 0) {
				complete &= shouldForward(fromTarget);
				if (complete) {
					out.write(bytes, 0, length);
				}
				length = in.read(bytes);
			}
			if (complete) {
				to.shutdownOutput();
			}
			else {
				reset(to);
			}
		}
		catch (IOException ex) {
			reset(from);
			reset(to);
		}
	}

	private boolean shouldForward(boolean fromTarget) {
		return switch (this.mode) {
			case PASS, RESET -> true;
			case DELAY -> {
				DaemonThreads.sleep(DELAY_MILLIS);
				yield true;
			}
			case DROP -> false;
			case DROP_RESPONSES -> !fromTarget;
		};
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			logger.debug("connection was already closed: {}", ex.toString());
		}
	}

	@Override
	public synchronized void close() throws IOException {
		DaemonThreads.stopListening(this.serverSocket, this.acceptThread);
		for (Socket socket : this.filling) {
			socket.close();
		}
		this.sockets.forEach(LinkProxy::reset);
	}

	/** What becomes of new connections. */
	enum NewConnections {

		/** They are accepted. */
		TAKEN,

		/** Connects hang. */
		SILENT,

		/** Connects are refused. */
		REFUSED

	}

	/** What the proxy does with data and connections. */
	enum Mode {

		/** Forwards data unchanged. */
		PASS,

		/** Delays each block of data by {@link #DELAY_MILLIS}. */
		DELAY,

		/** Drops data of both directions. */
		DROP,

		/** Drops data from the target. */
		DROP_RESPONSES,

		/** Resets open and new connections. */
		RESET

	}

}
