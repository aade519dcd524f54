package io.sequoialink.gateway.path;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.sequoialink.gateway.relay.Peer;

/**
 * Another host on loopback that answers each question for a connection as told. Its
 * connections stay open until it is closed.
 */
final class AnsweringHost implements AutoCloseable {

	private static final int BACKLOG = 50;

	private final String name;

	private final ServerSocket listening = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private final Function<String, TunnelAnswer> answers;

	private final AtomicInteger asked = new AtomicInteger();

	/**
	 * Starts a host.
	 * @param name name of the host
	 * @param answers returns the answer for a server's identifier
	 */
	AnsweringHost(String name, Function<String, TunnelAnswer> answers) throws IOException {
		this.name = name;
		this.answers = answers;
		Thread serving = new Thread(this::serve, "answering-host");
		serving.setDaemon(true);
		serving.start();
	}

	Peer peer() {
		return new Peer(this.name, "z",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.listening.getLocalPort()));
	}

	/**
	 * Returns how often the host was asked for a connection.
	 * @return number of questions
	 */
	int asked() {
		return this.asked.get();
	}

	private void serve() {
		while (!this.listening.isClosed()) {
			try {
				Socket socket = this.listening.accept();
				this.open.add(socket);
				DataInputStream in = new DataInputStream(socket.getInputStream());
				in.readByte();
				this.asked.incrementAndGet();
				String target = new String(in.readNBytes(in.readInt()), StandardCharsets.US_ASCII);
				socket.getOutputStream().write(new byte[] { 1, 0, 0, 0, 1, this.answers.apply(target).code() });
			}
			catch (IOException ex) {
				// the test has ended
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

}
