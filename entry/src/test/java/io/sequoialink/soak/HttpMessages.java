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
import java.util.regex.Pattern;

/**
 * Reads and writes HTTP/1.1 messages on blocking sockets. Does not hide malformed or cut
 * messages, as a full HTTP client would.
 */
final class HttpMessages {

	private static final Pattern START_LINE = Pattern
		.compile("HTTP/1\\.1 [1-5]\\d\\d( [ -~\\t]*)?|[A-Z]+ [!-~]+ HTTP/1\\.1");

	private static final Pattern FIELD = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[ -~\\t]*");

	private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,7}");

	private HttpMessages() {
	}

	/**
	 * Reads the start line and headers of a message.
	 * @param in stream of the connection
	 * @return the head, empty if the peer closed the connection before sending one
	 */
	static Optional<Head> readHead(InputStream in) throws IOException {
		String startLine = readLine(in);
		if (startLine == null) {
			return Optional.empty();
		}
		requireForm(START_LINE, startLine);
		Map<String, String> headers = new HashMap<>();
		String line = readLine(in);
		while (line != null && !line.isEmpty()) {
			requireForm(FIELD, line);
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			line = readLine(in);
		}
		if (line == null) {
			throw new EOFException("connection closed within the headers of a message");
		}
		return Optional.of(new Head(startLine, headers));
	}

	private static void requireForm(Pattern form, String line) throws MalformedException {
		if (!form.matcher(line).matches()) {
			throw new MalformedException("line '" + line + "'");
		}
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("connection closed within a line");
			}
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.US_ASCII);
	}

	/**
	 * Reads a body whose length is given by the Content-Length header.
	 * @param head head of the message
	 * @param in stream of the connection
	 * @return the body
	 */
	static String readBody(InputStream in, Head head) throws IOException {
		int length = Integer.parseInt(head.header("content-length").orElse("0"));
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("connection closed within a body");
		}
		return new String(bytes, StandardCharsets.US_ASCII);
	}

	/**
	 * Reads one chunk of a chunked body.
	 * @param in stream of the connection
	 * @return the data of the chunk, empty for the last one
	 */
	static String readChunk(InputStream in) throws IOException {
		String size = readLine(in);
		if (size == null) {
			throw new EOFException("connection closed before the last chunk");
		}
		requireForm(CHUNK_SIZE, size);
		int length = Integer.parseInt(size, 16);
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length || readLine(in) == null) {
			throw new EOFException("connection closed within a chunk");
		}
		return new String(bytes, StandardCharsets.US_ASCII);
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	/** Bytes that are no message in the protocol. */
	static final class MalformedException extends IOException {

		MalformedException(String message) {
			super(message);
		}

	}

	/**
	 * Start line and headers of a message; header names are in lower case. Immutable.
	 */
	record Head(String startLine, Map<String, String> headers) {

		Optional<String> header(String name) {
			return Optional.ofNullable(this.headers.get(name));
		}

		String path() {
			return this.startLine.split(" ", 3)[1];
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ", 3)[1]);
		}

		boolean chunked() {
			return this.headers.getOrDefault("transfer-encoding", "").equals("chunked");
		}

		boolean closesConnection() {
			return this.headers.getOrDefault("connection", "").equalsIgnoreCase("close");
		}

	}

}
