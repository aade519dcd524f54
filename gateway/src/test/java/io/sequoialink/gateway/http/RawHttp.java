package io.sequoialink.gateway.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads HTTP messages byte by byte, so that tests see exactly what was transmitted.
 */
final class RawHttp {

	private RawHttp() {
	}

	/**
	 * Reads a message.
	 * @param in the connection
	 * @return the message, {@code null} if the connection ended before it; a truncated
	 * message ends with {@code <cut>}
	 * @throws IOException if the connection was reset
	 */
	static String readMessage(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return (head.length() == 0) ? null : head + "<cut>";
			}
			head.append((char) next);
		}
		String text = head.toString();
		if ("chunked".equals(header(text, "transfer-encoding"))) {
			return text + readChunks(in);
		}
		String length = header(text, "content-length");
		return text + ((length != null) ? readExactly(in, Integer.parseInt(length)) : "");
	}

	/**
	 * Reads a head.
	 * @param in the connection
	 * @return the head with the empty line behind it
	 * @throws IOException if the connection ended or was reset before
	 */
	static String readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException("connection ended within a head");
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private static String readChunks(InputStream in) throws IOException {
		StringBuilder body = new StringBuilder();
		while (true) {
			String line = readLine(in);
			if (line == null) {
				return body + "<cut>";
			}
			int size = Integer.parseInt(line, 16);
			String data = readExactly(in, size);
			body.append(data);
			readLine(in);
			if (size == 0 || data.endsWith("<cut>")) {
				return body.toString();
			}
		}
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (true) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			if (next == '\n') {
				return line.toString().trim();
			}
			line.append((char) next);
		}
	}

	private static String readExactly(InputStream in, int length) throws IOException {
		byte[] data = in.readNBytes(length);
		String text = new String(data, StandardCharsets.US_ASCII);
		return (data.length < length) ? text + "<cut>" : text;
	}

	static String header(String message, String name) {
		int end = message.indexOf("\r\n\r\n");
		for (String line : message.substring(0, end).split("\r\n")) {
			int colon = line.indexOf(':');
			if (colon > 0 && line.substring(0, colon).trim().toLowerCase(Locale.ROOT).equals(name)) {
				return line.substring(colon + 1).trim();
			}
		}
		return null;
	}

	static int status(String message) {
		return Integer.parseInt(message.split(" ")[1]);
	}

	static String body(String message) {
		return message.substring(message.indexOf("\r\n\r\n") + 4);
	}

}
