package io.sequoialink.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Messages of HTTP/1.1 over blocking sockets, with every byte in the hands of the caller.
 * Stateless.
 */
final class HttpWire {

	private HttpWire() {
	}

	/**
	 * Reads the first line and headers of a message.
	 * @param in where to read
	 * @return the head, empty if the peer ended the connection before it
	 */
	static Optional<Head> readHead(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return Optional.empty();
		}
		Map<String, String> headers = new HashMap<>();
		String line = readLine(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			line = readLine(in);
		}
		if (line == null) {
			throw new EOFException("within a head");
		}
		return Optional.of(new Head(first, headers));
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("within a line");
			}
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.US_ASCII);
	}

	/**
	 * Reads a body of known length.
	 * @param head head of the message
	 * @param in where to read
	 * @return the body
	 */
	static String readBody(InputStream in, Head head) throws IOException {
		int length = Integer.parseInt(head.header("content-length").orElse("0"));
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("within a body");
		}
		return new String(bytes, StandardCharsets.US_ASCII);
	}

	/**
	 * Reads a chunk of a body.
	 * @param in where to read
	 * @return the chunk, empty after the last one
	 */
	static String readChunk(InputStream in) throws IOException {
		String size = readLine(in);
		if (size == null) {
			throw new EOFException("between chunks");
		}
		int length = Integer.parseInt(size, 16);
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length || readLine(in) == null) {
			throw new EOFException("within a chunk");
		}
		return new String(bytes, StandardCharsets.US_ASCII);
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	/**
	 * First line and headers of a message. Immutable.
	 */
	record Head(String first, Map<String, String> headers) {

		Optional<String> header(String name) {
			return Optional.ofNullable(this.headers.get(name));
		}

		String path() {
			return this.first.split(" ", 3)[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ", 3)[1]);
		}

		boolean chunked() {
			return this.headers.getOrDefault("transfer-encoding", "").equals("chunked");
		}

		boolean last() {
			return this.headers.getOrDefault("connection", "").equalsIgnoreCase("close");
		}

	}

}
