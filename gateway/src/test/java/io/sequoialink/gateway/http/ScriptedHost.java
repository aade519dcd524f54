package io.sequoialink.gateway.http;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A host that accepts each request for a connection and writes frames by a script, then
 * ends its connection regularly.
 */
final class ScriptedHost implements AutoCloseable {

	/** Kind of a frame with bytes of the server. */
	static final int DATA = 2;

	/** Kind of a frame that says that the server has ended its output. */
	static final int END = 3;

	/** Kind of a frame that says that the connection to the server was lost. */
	static final int RESET = 4;

	private final ServerSocket listening = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final Script script;

	ScriptedHost(Script script) throws IOException {
		this.script = script;
		Thread serving = new Thread(this::serve, "scripted-host");
		serving.setDaemon(true);
		serving.start();
	}

	InetSocketAddress address() {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), this.listening.getLocalPort());
	}

	List<String> requests() {
		return this.requests;
	}

	private void serve() {
		while (!this.listening.isClosed()) {
			try (Socket socket = this.listening.accept()) {
				DataInputStream in = new DataInputStream(socket.getInputStream());
				readFrame(in);
				socket.getOutputStream().write(new byte[] { 1, 0, 0, 0, 1, 0 });
				String request = readFrame(in);
				this.requests.add(request);
				this.script.respond(request, socket.getOutputStream());
				socket.shutdownOutput();
			}
			catch (IOException ex) {
				// the other side has ended the connection
			}
		}
	}

	private static String readFrame(DataInputStream in) throws IOException {
		in.readByte();
		return new String(in.readNBytes(in.readInt()), StandardCharsets.US_ASCII);
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

	static void end(OutputStream out, long writtenToServer) throws IOException {
		byte[] number = ByteBuffer.allocate(Long.BYTES).putLong(writtenToServer).array();
		frame(out, END, new String(number, StandardCharsets.ISO_8859_1));
	}

	static void frame(OutputStream out, int kind, String payload) throws IOException {
		byte[] bytes = payload.getBytes(StandardCharsets.ISO_8859_1);
		out.write(ByteBuffer.allocate(5 + bytes.length).put((byte) kind).putInt(bytes.length).put(bytes).array());
		out.flush();
	}

	/** Writes frames in response to a request. */
	@FunctionalInterface
	interface Script {

		void respond(String request, OutputStream out) throws IOException;

	}

}
