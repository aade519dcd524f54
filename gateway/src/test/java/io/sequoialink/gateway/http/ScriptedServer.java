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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A backend server whose answers are written by a script, byte by byte as the test wants.
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket listening;

	private final Script script;

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final CountDownLatch callerLeft = new CountDownLatch(1);

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

	boolean callerLeftWithin(long millis) throws InterruptedException {
		return this.callerLeft.await(millis, TimeUnit.MILLISECONDS);
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
				Call call = new Call(request, this.requests.size(), socket, in, this.callerLeft);
				this.script.answer(call);
				if (socket.isClosed() || call.ended) {
					return;
				}
				request = RawHttp.readMessage(in);
			}
		}
		catch (SocketException ex) {
			this.callerLeft.countDown();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Takes no more connections. A closed socket takes them until the thread that waits
	 * in {@code accept} has woken, so this waits for the thread.
	 */
	void refuseConnections() throws IOException {
		this.listening.close();
		try {
			this.accepting.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("interrupted while the server stopped to listen");
		}
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

	/**
	 * Writes the answer to one request.
	 */
	@FunctionalInterface
	interface Script {

		void answer(Call call) throws IOException;

	}

	/**
	 * One request and the means to answer it.
	 */
	final class Call {

		private final String request;

		private final int number;

		private final Socket socket;

		private final InputStream in;

		private final CountDownLatch callerLeft;

		private boolean ended;

		private Call(String request, int number, Socket socket, InputStream in, CountDownLatch callerLeft) {
			this.request = request;
			this.number = number;
			this.socket = socket;
			this.in = in;
			this.callerLeft = callerLeft;
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

		void write(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.US_ASCII));
			out.flush();
		}

		void whole(int status, String headers, String body) throws IOException {
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

		void end() throws IOException {
			this.ended = true;
			this.socket.close();
		}

		void reset() throws IOException {
			this.ended = true;
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		/**
		 * Resets the connection and takes no more of them, as a process that died.
		 */
		void crash() throws IOException {
			refuseConnections();
			reset();
		}

		void waitUntilCallerLeaves() throws IOException {
			this.ended = true;
			try {
				if (this.in.read() < 0) {
					this.callerLeft.countDown();
				}
			}
			catch (SocketException ex) {
				this.callerLeft.countDown();
			}
		}

	}

}
