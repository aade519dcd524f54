package io.sequoialink.gateway.codec;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.sequoialink.gateway.codec.MalformedMessageException.Reason;

/**
 * The syntax of the first lines of messages. Stateless.
 *
 * <p>
 * Blanks between the parts of a line may be repeated (RFC 9112, sections 3 and 4).
 */
final class StartLines {

	private static final String VERSION = "(?<version>HTTP/\\d\\.\\d)";

	private static final Pattern REQUEST_LINE = Pattern
		.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \\t]+[!-~\\x80-\\xff]+[ \\t]+" + VERSION + "[ \\t]*");

	private static final Pattern STATUS_LINE = Pattern
		.compile(VERSION + "[ \\t]+(?<status>[^ \\t]+)([ \\t][\\t -~\\x80-\\xff]*)?");

	private static final Pattern MAJOR_VERSION_1 = Pattern.compile("HTTP/1\\.\\d");

	/** All other codes are invalid (RFC 9110, section 15). */
	private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");

	private StartLines() {
	}

	/**
	 * Checks the first line of a request.
	 * @param line the line without its end, one character a byte
	 * @throws MalformedMessageException if it is no request line
	 */
	static void checkRequestLine(String line) throws MalformedMessageException {
		Matcher parts = REQUEST_LINE.matcher(line);
		require(parts.matches(), Reason.START_LINE);
		require(MAJOR_VERSION_1.matcher(parts.group("version")).matches(), Reason.VERSION);
	}

	/**
	 * Checks the first line of a response; its reason phrase may be absent.
	 * @param line the line without its end, one character a byte
	 * @throws MalformedMessageException if it is no status line
	 */
	static void checkStatusLine(String line) throws MalformedMessageException {
		Matcher parts = STATUS_LINE.matcher(line);
		require(parts.matches(), Reason.START_LINE);
		require(MAJOR_VERSION_1.matcher(parts.group("version")).matches(), Reason.VERSION);
		require(STATUS_CODE.matcher(parts.group("status")).matches(), Reason.STATUS);
	}

	private static void require(boolean condition, Reason otherwise) throws MalformedMessageException {
		if (!condition) {
			throw new MalformedMessageException(otherwise);
		}
	}

}
