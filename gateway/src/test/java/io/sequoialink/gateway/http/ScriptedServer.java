package io.sequoialink.gateway.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A backend server whose responses are written byte by byte by a script.
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket listening;

	private final Script script;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final CountDownLatch clientClosed = new CountDownLatch(1);

	private final Thread accepting = new Thread(this::accept, "scripted");

	ScriptedServer(Script script) throws IOException {
		this.script = script;
		this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.accepting.setDaemon(true);
		this.accepting.start();
	}

	int port() {
		return this.listening.getLocalPort();
	}

	List<String> requests() {
		return this.requests;
	}

	boolean clientClosedWithin(long millis) throws InterruptedException {
		return this.clientClosed.await(millis, TimeUnit.MILLISECONDS);
	}

	private void accept() {
		while (!this.listening.isClosed()) {
			try {
				Socket socket = this.listening.accept();
				Thread serving = new Thread(() -> serve(socket), "scripted-connection");
				serving.setDaemon(true);
				serving.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			String request = RawHttp.readMessage(in);
			while (request != null) {
				this.requests.add(request);
				Call call = new Call(request, this.requests.size(), socket, in, this.clientClosed);
				this.script.respond(call);
				if (socket.isClosed() || call.closed) {
					return;
				}
				request = RawHttp.readMessage(in);
			}
		}
		catch (SocketException ex) {
			this.clientClosed.countDown();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Stops accepting connections. A closed socket accepts them until the thread blocked
	 * in {@code accept} has woken, so this method waits for the thread.
	 */
	void refuseConnections() throws IOException {
		this.listening.close();
		try {
			this.accepting.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("interrupted while the server stopped listening");
		}
	}

	boolean refusesConnections() {
		return this.listening.isClosed();
	}

	static void refuse(Call call) throws IOException {
		call.server().refuseConnections();
	}

	static void pause(long millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("interrupted while the server worked");
		}
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

	/**
	 * Writes the response to one request.
	 */
	@FunctionalInterface
	interface Script {

		void respond(Call call) throws IOException;

	}

	/**
	 * How a connection ended for the server. Immutable.
	 *
	 * @param how "FIN" regularly, "RST" by a reset, "bytes" if something arrived instead
	 * @param nanos monotonic time
	 */
	record End(String how, long nanos) {

	}

	/**
	 * One request, and methods to respond to it.
	 */
	final class Call {

		private final String request;

		private final int number;

		private final Socket socket;

		private final InputStream in;

		private final CountDownLatch clientClosed;

		private boolean closed;

		private Call(String request, int number, Socket socket, InputStream in, CountDownLatch clientClosed) {
			this.request = request;
			this.number = number;
			this.socket = socket;
			this.in = in;
			this.clientClosed = clientClosed;
		}

		private ScriptedServer server() {
			return ScriptedServer.this;
		}

		String path() {
			return this.request.split(" ", 3)[1];
		}

		int number() {
			return this.number;
		}

		String header(String name) {
			return RawHttp.header(this.request, name);
		}

		String body() {
			return RawHttp.body(this.request);
		}

		/**
		 * Returns whether this server has closed the connection.
		 */
		boolean ended() {
			return this.closed;
		}

		void write(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}

		void respond(int status, String headers, String body) throws IOException {
			write("HTTP/1.1 " + status + " X\r\nid: " + header("id") + "\r\n" + headers + "content-length: "
					+ body.length() + "\r\n\r\n" + body);
		}

		void streamHead(String headers) throws IOException {
			write("HTTP/1.1 200 OK\r\nid: " + header("id") + "\r\nseal: s\r\n" + headers
					+ "transfer-encoding: chunked\r\n\r\n");
		}

		void chunk(String text) throws IOException {
			write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		void endChunks() throws IOException {
			write("0\r\n\r\n");
		}

		/**
		 * Reads in another thread until the connection ends; no further request is
		 * answered.
		 * @return how and when it ended
		 */
		CompletableFuture<End> watchEnd() {
			this.closed = true;
			return CompletableFuture.supplyAsync(() -> {
				try {
					return new End((this.in.read() < 0) ? "FIN" : "bytes", System.nanoTime());
				}
				catch (IOException ex) {
					return new End("RST", System.nanoTime());
				}
			}, (work) -> new Thread(work, "scripted-watch").start());
		}

		void close() throws IOException {
			this.closed = true;
			this.socket.close();
		}

		void reset() throws IOException {
			this.closed = true;
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		/**
		 * Resets the connection and refuses further ones, as after the death of the
		 * process.
		 */
		void crash() throws IOException {
			refuseConnections();
			reset();
		}

		void awaitClientClose() throws IOException {
			this.closed = true;
			try {
				if (this.in.read() < 0) {
					this.clientClosed.countDown();
				}
			}
			catch (SocketException ex) {
				this.clientClosed.countDown();
			}
		}

	}

}
