package io.sequoialink.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;

/**
 * Many clients of one kind that send to one path of a host at the same time and stay
 * until {@link #close()}. Each has a connection and a thread. Thread-safe.
 */
final class ClientCrowd implements AutoCloseable {

	/** Largest body that the configuration of the tests permits, in bytes. */
	static final int MAX_BODY = 4 << 20;

	/** Receive buffer of a client, so that little of an unread answer leaves the host. */
	private static final int SMALL_RECEIVE_BUFFER = 4096;

	private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

	/**
	 * Starts the clients.
	 * @param kind what they send
	 * @param port port of the host
	 * @param path path to which they send
	 */
	ClientCrowd(Kind kind, int port, String path) {
		for (int i = 0; i < kind.clients; i++) {
			Thread client = new Thread(() -> run(kind, port, path), "client");
			client.setDaemon(true);
			client.start();
		}
	}

	private void run(Kind kind, int port, String path) {
		try {
			Socket socket = new Socket();
			this.sockets.add(socket);
			socket.setTcpNoDelay(true);
			socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
			socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
			kind.sender.send(socket.getOutputStream(), path);
		}
		catch (IOException ex) {
			// the host may close the connection of such a client at any time
		}
	}

	@Override
	public void close() {
		for (Socket socket : List.copyOf(this.sockets)) {
			try {
				socket.close();
			}
			catch (IOException ex) {
				// the connection is of no use any more
			}
		}
	}

	private static byte[] head(String method, String path, String fields) {
		return (method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Sequoialink-Request-Id: c"
				+ Thread.currentThread().getId() + "\r\n" + fields + "\r\n")
			.getBytes(StandardCharsets.US_ASCII);
	}

	private static byte[] declaring(String path, long bytes) {
		return head("POST", path, "Content-Length: " + bytes + "\r\n");
	}

	private static void unfinishedBody(OutputStream out, String path, int pieceBytes) throws IOException {
		out.write(declaring(path, MAX_BODY));
		for (int sent = 0; sent < MAX_BODY - 1; sent += pieceBytes) {
			out.write(new byte[Math.min(pieceBytes, MAX_BODY - 1 - sent)]);
		}
	}

	private static void oneByteChunks(OutputStream out, String path) throws IOException {
		out.write(head("POST", path, "Transfer-Encoding: chunked\r\n"));
		byte[] chunks = "1\r\nx\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
		for (int sent = 0; sent < 300_000; sent += 1000) {
			out.write(chunks);
		}
	}

	private static void slowBody(OutputStream out, String path) throws IOException {
		out.write(declaring(path, MAX_BODY));
		for (int i = 0; i < 50; i++) {
			out.write(new byte[4096]);
			Await.sleep(200);
		}
	}

	private static void bodyOverLimit(OutputStream out, String path) throws IOException {
		out.write(head("POST", path, "Transfer-Encoding: chunked\r\n"));
		byte[] chunk = new byte[0x10000 + 9];
		Arrays.fill(chunk, (byte) 'x');
		System.arraycopy("10000\r\n".getBytes(StandardCharsets.US_ASCII), 0, chunk, 0, 7);
		System.arraycopy("\r\n".getBytes(StandardCharsets.US_ASCII), 0, chunk, chunk.length - 2, 2);
		for (int sent = 0; sent < 10 * MAX_BODY; sent += 0x10000) {
			out.write(chunk);
		}
	}

	private static void emptyFields(OutputStream out, String path) throws IOException {
		byte[] head = head("POST", path, "Content-Length: 2\r\n" + "a:\r\n".repeat(3900));
		out.write(head);
		out.write('x');
	}

	private static void pipelined(OutputStream out, String path) throws IOException {
		byte[] head = head("GET", path, "");
		for (int i = 0; i < 800; i++) {
			out.write(head);
		}
	}

	private static void unfinishedHead(OutputStream out, String path) throws IOException {
		byte[] head = head("GET", path, "X-Long: " + "y".repeat(15_000));
		out.write(head, 0, head.length - 4);
	}

	/**
	 * A kind of clients.
	 */
	enum Kind {

		WHOLE_BODY(24, (out, path) -> unfinishedBody(out, path, MAX_BODY)),

		PIECES_OF_512_BYTES(24, (out, path) -> unfinishedBody(out, path, 512)),

		CHUNKS_OF_ONE_BYTE(24, ClientCrowd::oneByteChunks),

		SLOW_BODY(60, ClientCrowd::slowBody),

		BODY_OVER_LIMIT(24, ClientCrowd::bodyOverLimit),

		EMPTY_FIELDS(200, ClientCrowd::emptyFields),

		PIPELINED(100, ClientCrowd::pipelined),

		UNREAD_ANSWER(40, (out, path) -> out.write(head("GET", path + "?large", ""))),

		PIPELINED_LARGE(40, (out, path) -> pipelined(out, path + "?large")),

		UNFINISHED_HEAD(250, ClientCrowd::unfinishedHead),

		SILENT(600, (out, path) -> {
		});

		private final int clients;

		private final Sender sender;

		Kind(int clients, Sender sender) {
			this.clients = clients;
			this.sender = sender;
		}

	}

	/** Sends what one client sends. */
	@FunctionalInterface
	private interface Sender {

		void send(OutputStream out, String path) throws IOException;

	}

}
