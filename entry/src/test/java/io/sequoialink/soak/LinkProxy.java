package io.sequoialink.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A link over loopback that can be delayed, silenced, cut one way or reset. Safe for
 * threads.
 */
final class LinkProxy implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(LinkProxy.class);

	private static final int DELAY_MILLIS = 120;

	private final ServerSocket listening;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Thread accepting;

	private volatile InetSocketAddress target;

	private volatile Mode mode = Mode.PASS;

	LinkProxy(InetSocketAddress target) throws IOException {
		this.target = target;
		this.listening = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
		this.accepting = Daemons.start("link", this::accept);
	}

	int port() {
		return this.listening.getLocalPort();
	}

	void target(InetSocketAddress now) {
		this.target = now;
	}

	/**
	 * Changes the link; a reset strikes all connections that are open.
	 * @param now what the link does from now on
	 */
	void mode(Mode now) {
		this.mode = now;
		if (now == Mode.RESET) {
			this.sockets.forEach(LinkProxy::reset);
		}
	}

	private void accept() {
		while (!this.listening.isClosed()) {
			try {
				Socket near = this.listening.accept();
				this.sockets.add(near);
				Daemons.start("link-open", () -> open(near));
			}
			catch (IOException ex) {
				if (!this.listening.isClosed()) {
					logger.warn("the link accepts no more connections: {}", ex.toString());
				}
				return;
			}
		}
	}

	private void open(Socket near) {
		Mode now = this.mode;
		if (now == Mode.RESET) {
			reset(near);
			return;
		}
		try {
			Socket far = new Socket();
			this.sockets.add(far);
			far.connect(this.target, 1000);
			Daemons.start("link-there", () -> pump(near, far, false));
			pump(far, near, true);
		}
		catch (IOException ex) {
			// the far end takes no connection: the near one sees the same
			reset(near);
		}
	}

	private void pump(Socket from, Socket to, boolean back) {
		byte[] bytes = new byte[16384];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int length = in.read(bytes);
			while (length >= 0) {
				if (passes(back)) {
					out.write(bytes, 0, length);
				}
				length = in.read(bytes);
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			reset(from);
			reset(to);
		}
	}

	private boolean passes(boolean back) {
		return switch (this.mode) {
			case PASS, RESET -> true;
			case DELAY -> {
				Daemons.sleep(DELAY_MILLIS);
				yield true;
			}
			case SILENT -> false;
			case NO_ANSWERS -> !back;
		};
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			logger.debug("already closed: {}", ex.toString());
		}
	}

	@Override
	public void close() throws IOException {
		Daemons.stopListening(this.listening, this.accepting);
		this.sockets.forEach(LinkProxy::reset);
	}

	/** What the link does with bytes. */
	enum Mode {

		PASS, DELAY, SILENT, NO_ANSWERS, RESET

	}

}
